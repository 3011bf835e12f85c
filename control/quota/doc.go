// Package quota keeps the operations of tenants within their limits, summed over all gateways.
//
// The primary controller has a Bank: for each tenant with a limit a token bucket, one token an operation. A gateway has a Purse with
// the operations that the bank has granted it, and takes one out before the first statement of an operation leaves. Each grant is
// good for a short life from the moment at which the gateway asked, by its own steady clock. What was granted and not begun by then
// is lost; nothing is given back, reported or settled, so nothing has to be remembered of a gateway that dies, is cut off or starts
// again, nor of a bank that ends.
//
// Grants beyond what waits at a gateway, to be kept in stock, come from the top of a bucket only: most of what is kept for thin demand ends
// unused, and nobody is to be refused for it.
//
// # Why the limit holds
//
// An operation counts in a window if its client sent it, and it reached an instance, within the window. It is taken out of a purse in
// between, so within the window too. What is taken out in a window of length W was granted in the window or in the life L before it.
// A bucket of capacity C that is refilled at rate R grants at most C + R x (W + L) in that time, and termsOf chooses C, R and L so
// that this is within the rule. It needs no word from any gateway, and no assumption but that steady clocks run alike.
//
// A later bank continues an earlier one. It starts empty, and fills only once no earlier bank can grant any more (NewBank), so that
// the grants of all of them are those of one bucket that was at times fuller than it was known to be.
package quota
