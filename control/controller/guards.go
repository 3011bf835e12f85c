package controller

// disabledGuards switches single guards off. Only tests set it, to see that they find what the guard prevents.
type disabledGuards struct {
	fetchesUnconfirmed bool // a fetch is answered without a confirmation
	ordersUnconfirmed  bool // an order that changes nothing is answered without a confirmation
	watchesUnconfirmed bool // a gateway is answered without a confirmation
	changesUncommitted bool // a change is answered before it is committed
	leasesUncounted    bool // no gateway's lease holds up a freeze
	formerLeases       bool // leases of earlier terms hold up no freeze
	anyBeatUnconfirmed bool // plain beats are acknowledged however old the last confirmation is
	operationsStale    bool // operations are granted however old the last confirmation is
	bankOpensAtOnce    bool // a new term grants operations while an earlier one may
}

func (g disabledGuards) unconfirmed(question question) bool {
	switch {
	case question.watch != nil:
		return g.watchesUnconfirmed
	case question.command != nil:
		return g.ordersUnconfirmed
	}
	return g.fetchesUnconfirmed
}
