package store

import (
	"testing"

	"github.com/matryer/is"
)

func TestRevisionsAreOrderedByEpochAndVersion(t *testing.T) {
	is := is.New(t)
	is.Equal(Revision(0, 17), uint64(17))
	ordered := []uint64{Revision(0, 1), Revision(0, 1<<40), Revision(1, 0), Revision(1, 1), Revision(2, 0)}
	for index := 1; index < len(ordered); index++ {
		is.True(ordered[index-1] < ordered[index])
	}
	is.Equal(Epoch(Revision(3, 17)), uint64(3))
	is.Equal(Version(Revision(3, 17)), uint64(17))
}

func TestRevisionBeforeStaysInEpoch(t *testing.T) {
	tests := []struct{ from, by, want uint64 }{
		{Revision(0, 9), 4, Revision(0, 5)}, {Revision(0, 3), 4, 0},
		{Revision(2, 9), 4, Revision(2, 5)}, {Revision(2, 3), 4, Revision(2, 0)},
	}
	for _, tt := range tests {
		is.New(t).Equal(RevisionBefore(tt.from, tt.by), tt.want)
	}
}
