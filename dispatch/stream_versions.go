package dispatch

import (
	"slices"
	"strings"
	"time"
)

// streamReturnTime is how long a software version stays needed after the last stream there has ended. Callers resume
// streams that broke within that time, mostly at once.
const streamReturnTime = 3 * time.Second

// A versionNeed is the need of one software version for the streams of a model or adapter.
type versionNeed struct {
	// streams is the number of resumable streams that run at the version or wait for it.
	streams int
	// lastEnd is when the last one ended.
	lastEnd time.Time
}

// versionNeeds holds the software versions that resumable streams need, by Request.targetKey and version.
type versionNeeds map[string]map[string]*versionNeed

// begin records that a stream begins to run at a version or to wait for it.
func (n versionNeeds) begin(target, version string) {
	byVersion := n[target]
	if byVersion == nil {
		byVersion = make(map[string]*versionNeed)
		n[target] = byVersion
	}
	if byVersion[version] == nil {
		byVersion[version] = &versionNeed{}
	}
	byVersion[version].streams++
}

// end records the end of what begin recorded.
func (n versionNeeds) end(target, version string, now time.Time) {
	need := n[target][version]
	need.streams--
	need.lastEnd = now
}

// isOver reports whether no stream needs the version any more.
func (n *versionNeed) isOver(now time.Time) bool {
	return n.streams == 0 && now.Sub(n.lastEnd) > streamReturnTime
}

// removeOver removes the versions that no stream needs any more.
func (n versionNeeds) removeOver(now time.Time) {
	for target, byVersion := range n {
		for version, need := range byVersion {
			if need.isOver(now) {
				delete(byVersion, version)
			}
		}
		if len(byVersion) == 0 {
			delete(n, target)
		}
	}
}

// encode returns those of the given versions that the streams of a model or adapter need, in the form of
// Demand.StreamVersions.
func (n versionNeeds) encode(target string, among []string) string {
	var b strings.Builder
	for _, version := range among {
		if n[target][version] != nil {
			b.WriteString(version)
			b.WriteByte('\n')
		}
	}
	return b.String()
}

// NeededVersions returns the versions in StreamVersions.
func (d *Demand) NeededVersions() []string {
	if d.StreamVersions == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(d.StreamVersions, "\n"), "\n")
}

// versionsInRelease returns the software versions of the servers of a service that accept requests, sorted, or nil if
// they run one version. d.mu must be held.
func (d *Dispatcher) versionsInRelease(service string) []string {
	var versions []string
	for _, s := range d.servers.Service(service) {
		if s.AcceptsRequests() && !slices.Contains(versions, s.Version) {
			versions = append(versions, s.Version)
		}
	}
	if len(versions) < 2 {
		return nil
	}
	slices.Sort(versions)
	return versions
}

// addStreamVersions adds the versions that streams need to demands. d.mu must be held.
func (d *Dispatcher) addStreamVersions(demands map[string]Demand) {
	needs := d.demand.versionNeeds
	needs.removeOver(d.opts.Clock.Now())
	inRelease := make(map[string][]string)
	for target := range needs {
		x := demands[target]
		versions, ok := inRelease[x.Service]
		if !ok {
			versions = d.versionsInRelease(x.Service)
			inRelease[x.Service] = versions
		}
		x.StreamVersions = needs.encode(target, versions)
		demands[target] = x
	}
}

// beginStream records that a resumable stream begins to run at a server. d.mu must be held.
func (r *Reservation) beginStream() {
	if r.req.Resumable {
		r.isStream = true
		r.d.demand.versionNeeds.begin(r.req.targetKey(), r.server.Version)
	}
}

// endStream records the end of what beginStream recorded. d.mu must be held.
func (r *Reservation) endStream() {
	if r.isStream {
		r.d.demand.versionNeeds.end(r.req.targetKey(), r.server.Version, r.d.opts.Clock.Now())
	}
}

// addWaiting changes the number of waiting requests by that of one which begins or ends to wait. Requests to plain services
// are not counted. d.mu must be held.
func (d *Dispatcher) addWaiting(r *Request, change int) {
	if r.Model == "" {
		return
	}
	d.demand.get(r).Waiting += change
	switch {
	case r.Version == nil:
	case change > 0:
		d.demand.versionNeeds.begin(r.targetKey(), *r.Version)
	default:
		d.demand.versionNeeds.end(r.targetKey(), *r.Version, d.opts.Clock.Now())
	}
}
