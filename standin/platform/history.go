package platform

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Commit is one entry of the table's truth log: a committed transaction.
type Commit struct {
	// Order numbers the commits, starting at 1.
	Order      uint64               `json:"order"`
	Time       time.Time            `json:"time"`
	Conditions []protocol.Condition `json:"conditions,omitempty"`
	Writes     []CommittedWrite     `json:"writes"`
}

// CommittedWrite is one write of a commit.
type CommittedWrite struct {
	Key    string `json:"key"`
	Delete bool   `json:"delete,omitempty"`
	// Version is the row's version after the write; 0 after a delete.
	Version uint64 `json:"version"`
}

// history is the list of commits. The caller must hold the server's lock.
type history struct{ commits []Commit }

func (h *history) add(now time.Time, transaction protocol.Transaction, result protocol.TransactionResult) {
	commit := Commit{Order: uint64(len(h.commits)) + 1, Time: now, Conditions: transaction.Conditions}
	for index, write := range transaction.Writes {
		commit.Writes = append(commit.Writes, CommittedWrite{
			Key: write.Key, Delete: write.Delete, Version: result.Rows[index].Version,
		})
	}
	h.commits = append(h.commits, commit)
}
