package rpc

import (
	"eiderway/control/feed"
	"eiderway/control/replication"
)

// peerFrame carries a message from one controller to another.
type peerFrame struct {
	Message replication.Message
}

// questionFrame carries a gateway's question.
type questionFrame struct {
	ID      uint64 // from 1 on, rising on a connection
	Request feed.WatchRequest
}

// answerFrame carries the answer to the question with this ID.
type answerFrame struct {
	ID     uint64
	Answer feed.WatchAnswer
	Packed packedParts
}
