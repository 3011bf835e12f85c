package controller

// disabledGuards disables single safety checks. Only tests set it, to show that they detect the fault which the check prevents.
type disabledGuards struct {
	fetchesUnconfirmed    bool // a configuration is fetched without a confirmation
	replacesUnconfirmed   bool // a POST /config/replace that changes nothing is answered without a confirmation
	watchesUnconfirmed    bool // a gateway is answered without a confirmation
	changesUncommitted    bool // a change is acknowledged before it is committed
	leasesIgnored         bool // a freeze doesn't wait for gateways' leases
	earlierLeasesIgnored  bool // a freeze doesn't wait for leases of earlier terms
	heartbeatsUnconfirmed bool // plain heartbeats are acknowledged however old the last confirmation is
	operationsUnconfirmed bool // operations are granted however old the last confirmation is
	allocatorOpensAtOnce  bool // a new term grants operations while an earlier one still may
}

func (g disabledGuards) skipsConfirmation(pending pendingReply) bool {
	switch {
	case pending.watch != nil:
		return g.watchesUnconfirmed
	case pending.command != nil:
		return g.replacesUnconfirmed
	}
	return g.fetchesUnconfirmed
}
