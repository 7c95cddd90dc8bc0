// Package departure tracks which backend server instances have announced that they are leaving. A server that is
// leaving says so in its responses, possibly long before the platform's list of servers does.
//
// A Table holds the announcements. It learns them from the responses that its own process receives (Observe) and from
// other processes (Merge). An instance never takes back that it is leaving, and a restarted server is another instance,
// so announcements can be merged in any order and repeatedly, and an older record of the server cannot revoke one.
// Processes exchange ages instead of times because their clocks differ.
//
// The package owns the announcements. The caller passes the announcements in responses to Observe, transports the
// messages between processes (package exchange) and calls Expire regularly. Package backend combines a Table with the
// list of servers. A Table is kept in memory only; after a restart it is filled again from responses and peers.
package departure
