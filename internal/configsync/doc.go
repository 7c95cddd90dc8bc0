// Package configsync distributes the operators' configuration to all gateways.
//
// Only one gateway, the leader, watches the store, because a configuration may be a megabyte in size and
// may change several times a second. Gateways exchange Announcements: the version that a gateway holds
// and the time since it was last known to be the newest. A gateway that learns of a newer version
// fetches it from a gateway that holds it, as a zstd patch against its own version (Transfer).
//
// A gateway watches the store itself when the newest version that it knows of was last confirmed more
// than Options.MaxAge ago, because there is no leader or the leader cannot reach the store. The watch
// starts at the newest announced revision. After a failed fetch the gateway reads the store next.
// Fetches and reads have timeouts for the lack of progress, not for their total duration, so that a
// large configuration can be transferred completely.
//
// The package owns the content of the newest few versions, what is known of the newest version, and
// the goroutine of Syncer.Run. The configuration in force belongs to the Applier. The package relies on
// versions that only increase, on the store's revisions, and on its callers to transport Announcements
// between gateways.
//
// A store that is restored from a backup begins a new era (kv.Revision.Era) and may contain an older
// version than the one in force. The newer one stays in force.
//
// Durations are time.Duration; message fields in milliseconds end in Ms.
package configsync
