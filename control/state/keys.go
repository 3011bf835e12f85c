package state

import "fmt"

// Key prefixes, one for each kind of entry, with the record that is stored. Numbers in keys have a fixed width, so that keys sort
// numerically.
const (
	configurationKey = "configuration/head"  // configurationHead
	bodyPrefix       = "configuration/body/" // + number of the piece: its compressed bytes
	orderPrefix      = "order/"              // + configuration number: orderRecord
	instancePrefix   = "instance/"           // + id of a present instance: instanceRecord
	departedPrefix   = "departed/"           // + id of a departed instance: instanceRecord
	addressPrefix    = "address/"            // + address of present instances: addressRecord
	departurePrefix  = "departure/"          // + number of the departure: departureRecord
	leaderPrefix     = "leader/"             // + service: leaderRecord
	floorPrefix      = "floor/"              // + service: floorRecord
	intentPrefix     = "intent/"             // + service: failover.Intent
	giveUpPrefix     = "giveup/"             // + service: GiveUp
)

func bodyKey(piece int) string             { return fmt.Sprintf("%s%06d", bodyPrefix, piece) }
func orderKey(number int64) string         { return fmt.Sprintf("%s%019d", orderPrefix, number) }
func instanceKey(id string) string         { return instancePrefix + id }
func departedKey(id string) string         { return departedPrefix + id }
func addressKey(address string) string     { return addressPrefix + address }
func departureKey(departure uint64) string { return fmt.Sprintf("%s%020d", departurePrefix, departure) }
func leaderKey(service string) string      { return leaderPrefix + service }
func floorKey(service string) string       { return floorPrefix + service }
func intentKey(service string) string      { return intentPrefix + service }
func giveUpKey(service string) string      { return giveUpPrefix + service }
