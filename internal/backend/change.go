package backend

// Change is one difference between two lists.
type Change struct {
	Kind   ChangeKind
	Record Record
}

// ChangeKind is what changed about a back end.
type ChangeKind string

// The kinds of change.
const (
	Appeared   ChangeKind = "appeared"
	DrainBegan ChangeKind = "draining"
	Gone       ChangeKind = "gone"
	Reloaded   ChangeKind = "reloaded"
)
