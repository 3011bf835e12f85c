// Package quota keeps the operations of tenants within their limits, summed over all gateways.
//
// The primary controller has an Allocator: for each tenant with a limit a token bucket, one token an operation. A gateway has a Budget with
// the operations that the bank has granted it, and takes one out before the first statement of an operation leaves. There are two kinds:
//
//   - Operations that wait are granted for a short life (GrantLife). What was granted and not begun by then is lost. Nothing is remembered
//     of the gateway.
//   - A reserve is held for longer (reserveLife) and renewed, so that operations begin without a question, also while a primary is replaced.
//     The bank counts what each gateway may hold.
//
// Both lives are counted by the gateway from the moment at which it asked, by its own steady clock.
//
// # Why the limit holds
//
// An operation counts in a window if its client sent it, and it reached an instance, within the window. It is taken out of a purse in
// between, so within the window too. What is taken out in a window of length W is one of three:
//
//   - held in reserve when the window began: at most the reserve S, over all gateways;
//   - in the bucket or granted for a short life then: at most C + R x L, with the capacity C, the rate R and the life L, since a level and
//     what was granted in the life before it come from the level at that time and from what has come in since;
//   - come into the bucket in the window: R x W. What is lent in reserve in the window is taken out of the bucket as well.
//
// termsOf chooses them so that S + C + R x (W + L) is within the rule, with one percent left for clocks.
//
// # Why no more than S is held in reserve
//
// The bank lends to a gateway no more than S less what all others may hold. What a gateway may hold is never more than what is counted:
//
//   - Counted is the larger one of what it said it held and what it may keep with what is added, since the answer may be lost.
//   - It is counted from the answer for reserveLife and a margin for clocks; the gateway counts its end from the question, which is
//     earlier. A renewal extends the end of all that is held on both sides. The reserve of a process that has ended is counted to its end.
//   - A process has a name that no other has, and numbers its requests. A request that isn't newer than the last one of its process is
//     answered without grants, so that what it tells of the past changes nothing. An answer is booked once, by its number, and only while
//     its request is under way.
//
// # Why a later bank may follow
//
// A deposed primary grants nothing later than a short time after the promises that deposed it. The next bank opens GrantLife after that
// (NewAllocator), with empty buckets. So short grants of two banks are those of one bucket that was at times fuller than it was known to be.
//
// Reserves of earlier banks are still held then. They are over a reserveLife after the bank has opened. Until then all of S counts as lent
// to gateways that aren't known (unheard). Once a gateway has had an answer of the open bank, its next request tells what it held when no
// earlier bank could lend any more: as much is taken off what is unheard, and counted for that gateway. Its first request may be older:
// meanwhile its reserve may have ended, and an earlier bank may have lent as much to another gateway. So that leaves the reserve as it is.
//
// A tenant that comes while the bank is open may have been taken out a moment before. For the same reason all of S counts as lent for a
// reserveLife then, and what gateways tell is not taken off.
//
// # Limits that change
//
// A lowered limit makes room negative: a gateway keeps less with its next request, and the rest is over within reserveLife. What was
// lent by a higher limit before a bank took over may be more than S; where the limit is raised again, what is unheard rises with it.
package quota
