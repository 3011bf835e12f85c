// Package quota keeps the operations of tenants within their limits, summed over all gateways.
//
// The primary controller has a Bank: for each tenant with a limit a token bucket, one token an operation. A gateway has a Purse with
// the operations that the bank has granted it, and takes one out before the first statement of an operation leaves. A grant for an operation
// that waits is good for GrantLife from the moment at which the gateway asked, by its own steady clock. Besides, a gateway may hold a few
// operations in reserve, for reserveLife from its last question; the bank bounds what all of them may hold together.
//
// What was granted and not begun in time is lost, and nothing is given back or settled. What a bank remembers of a gateway, the most that it may
// hold in reserve, ends by itself; a later bank knows nothing of it, and takes the whole reserve for lent until it has ended.
//
// # Why the limit holds
//
// An operation counts in a window if its client sent it, and it reached an instance, within the window. It is taken out of a purse in
// between, so within the window too; a transaction is taken out before its BEGIN. What is taken out in a window of length W was granted in
// the window or in the life L before it, or was in reserve at its start. A bucket of capacity C that is refilled at rate R grants at most C + R x (W + L) in that time, beside
// the reserves, and termsOf chooses all of them so that this is within the rule. It needs no assumption but that steady clocks run alike.
//
// A later bank continues an earlier one. It starts empty, and fills only once no earlier bank can grant any more (NewBank), so that
// the grants of all of them are those of one bucket that was at times fuller than it was known to be.
package quota
