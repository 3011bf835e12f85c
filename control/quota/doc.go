// Package quota keeps the operations of each tenant within its limit, summed over all gateways.
//
// The primary controller has an Allocator: for each tenant with a limit a token bucket, one token per operation. A gateway has a Budget of
// the operations that the allocator has granted it, and takes one out before it sends the first statement of an operation. There are two
// kinds of grants:
//
//   - Operations that wait are granted for a short time (GrantLife). What was granted and has not begun by then is lost. The allocator
//     remembers nothing of the gateway.
//   - A reserve is held for longer (reserveLife) and renewed, so that operations begin without a request, also while a primary is replaced.
//     The allocator counts how much each gateway may hold.
//
// The gateway counts both times from the moment at which it sent the request, by its own monotonic clock.
//
// # Why the limit holds
//
// An operation counts in a window if its client sent it, and it reached an instance, within the window. It is taken out of a budget in
// between, so within the window too. What is taken out in a window of length W is one of three:
//
//   - Operations that were held in reserve when the window began: at most the reserve S, over all gateways.
//   - Operations that were in the bucket, or granted for a short time, when the window began: at most C + R x L, with the capacity C, the
//     rate R and the grant life L, since the level and what was granted in the grant life before the window come from the level at the
//     start of that time and from what the bucket has received since.
//   - Operations that the bucket receives within the window: R x W. Reserves that are granted within the window are taken out of the bucket
//     as well.
//
// parametersFor chooses them so that S + C + R x (W + L) stays within the rule, with one percent left for clock differences.
//
// # Why no more than S is held in reserve
//
// The allocator reserves for a gateway no more than S less what all other gateways may hold. What a gateway may hold is never more than
// what is counted for it:
//
//   - The count is the larger of what the gateway reported and what it may keep plus what is added, since the answer may be lost.
//   - It lasts from the answer for reserveLife and a margin for clocks; the gateway counts the end of its reserve from the request, which
//     is earlier. A renewal extends the end of the whole reserve on both sides. The reserve of a process that has ended is counted to its
//     end.
//   - A process has a name that no other has, and numbers its requests. A request that isn't newer than the last one of its process is
//     answered without grants, so that an outdated report changes nothing. The gateway applies an answer once, by its number, and only
//     while its request is pending.
//
// # Why another allocator may follow
//
// A deposed primary stops granting a short time after the promises that deposed it. The next allocator opens GrantLife after that
// (NewAllocator), with empty buckets. So the short grants of two allocators together are those of one bucket that was at times fuller than
// the allocators counted.
//
// Reserves of earlier allocators are still held then. They end within a reserveLife after the new allocator has opened. Until then all of S
// counts as held by gateways that haven't reported it (unreported). Once a gateway has had an answer of the open allocator, its next
// request reports what it held when no earlier allocator could grant any more: as much is taken off what is unreported, and counted for
// that gateway. Its first request may be older: by the time it arrives the reserve that it reports may have ended, and an earlier allocator
// may have granted as much to another gateway. So the first request leaves the reserve as it is.
//
// A tenant that is added while the allocator is open may have been removed a moment before. For the same reason all of S counts as
// unreported for a reserveLife then, and what gateways report is not taken off.
//
// # Limits that change
//
// When a limit is lowered, gateways may hold more than it allows: a gateway keeps less with its next request, and the rest ends within
// reserveLife. Reserves that were granted under a higher limit before an allocator took over may exceed S; when the limit is raised again,
// the unreported part rises with it.
package quota
