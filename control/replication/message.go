package replication

// Message is what controllers say to each other. (To be filled in.)
type Message struct{}
