namespace plantainhead {}
