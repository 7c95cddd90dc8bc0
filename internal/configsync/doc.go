// Package configsync keeps the operators' configuration up to date in every gateway.
//
// A configuration may have a megabyte, which takes a second of a gateway's link, and changes may
// come three a second. So one gateway, the leader, watches the store. Gateways tell each other
// only which version they hold and how surely it is the newest (News); whoever learns of a newer
// one fetches it from the gateway that holds it, as a patch of the version that it has itself
// (Transfer): some 20 KB for 1,400 routes more, some 0.4 KB for one route changed.
//
// It owns the bytes of the newest version and of the few before it, what is known of the newest
// version, and the goroutine of Syncer.Run that decides each step (Syncer.next). What is in force
// belongs to the Holder. It relies on versions that only rise, on the store's revisions, and on
// gateways that pass News on with their reports and with the changes of the store.
//
// When the news grows too old (the leader is gone, or does not reach the store), the gateway
// watches the store itself, from the revision that the last news named. When a fetch fails, it
// reads the store next. Both end when nothing arrives for a while, never because they are large.
//
// Times are time.Duration; fields of messages in milliseconds end in Ms.
package configsync
