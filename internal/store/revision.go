package store

// A store may come back from an older copy: then it gives out versions again. A revision orders
// versions over such returns. Its upper bits hold the epoch, the number of returns since this
// system's beginning; its lower bits hold the version that the store gave. Any revision of a
// later epoch is newer. While the store never came back, revisions are versions.

// epochShift leaves 44 bits to versions: a hundred thousand writes a second for five years.
const epochShift = 44

// Revision returns the revision of a version in an epoch.
func Revision(epoch, version uint64) uint64 { return epoch<<epochShift | version }

// Epoch returns the epoch of a revision.
func Epoch(revision uint64) uint64 { return revision >> epochShift }

// Version returns the version that the store gave for a revision.
func Version(revision uint64) uint64 { return revision & (1<<epochShift - 1) }

// RevisionBefore returns the revision that is a number of versions before another one, and not before the
// beginning of its epoch.
func RevisionBefore(revision, versions uint64) uint64 {
	return revision - min(versions, Version(revision))
}
