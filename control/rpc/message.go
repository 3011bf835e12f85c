package rpc

import (
	"eiderway/control/feed"
	"eiderway/control/replication"
)

// peerFrame carries a message from one controller to another.
type peerFrame struct {
	Message replication.Message
}

// requestFrame carries a gateway's request.
type requestFrame struct {
	ID      uint64 // starts at 1 and increases on each connection
	Request feed.WatchRequest
}

// answerFrame carries the answer to the request with this ID.
type answerFrame struct {
	ID     uint64
	Answer feed.WatchAnswer
	Packed packedParts
}
