// Package configsync distributes the operators' configuration to all gateways.
//
// One gateway, the leader, watches the store, because a configuration may be a megabyte in size and
// may change several times a second. Gateways exchange only News: the version they hold and when it
// was last known to be the newest. A gateway that learns of a newer version fetches it from the
// gateway that holds it, as a zstd patch against the version that it holds itself (Transfer).
//
// A gateway watches the store itself when the news is older than Options.MaxAge, because the leader
// is gone or cannot reach the store. It resumes from the revision that the last news named. After a
// fetch that failed it reads the store next. Fetches and reads are bounded by the absence of progress,
// not by their total duration, so that a large configuration gets through.
//
// The package owns the bytes of the newest version and of the few before it, what is known of the
// newest version, and the goroutine of Syncer.Run. The configuration in force belongs to the Holder.
// The package relies on versions that only increase, on the store's revisions, and on its callers to
// carry News between gateways.
//
// A store that is restored from a backup begins a new era (kv.Revision.Era) and may show an older
// version than the one in force. The newer one stays in force.
//
// Durations are time.Duration; message fields in milliseconds end in Ms.
package configsync
