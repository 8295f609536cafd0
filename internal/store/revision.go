package store

// A store that is restored from an older copy assigns versions again. Revisions order
// versions across restores: the upper bits hold the epoch, the number of restores, and the
// lower bits the version that the store assigned. Any revision of a later epoch is newer.
// Before the first restore, revisions equal versions.

// epochShift leaves 44 bits to versions, enough for years at a high write rate.
const epochShift = 44

// Revision returns the revision of a version in an epoch.
func Revision(epoch, version uint64) uint64 { return epoch<<epochShift | version }

// Epoch returns the epoch of a revision.
func Epoch(revision uint64) uint64 { return revision >> epochShift }

// Version returns the store's version of a revision.
func Version(revision uint64) uint64 { return revision & (1<<epochShift - 1) }

// RevisionBefore returns the revision that is a number of versions before another one, at
// the earliest the start of its epoch.
func RevisionBefore(revision, versions uint64) uint64 {
	return revision - min(versions, Version(revision))
}
