package memory_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/memory"
)

// on as it arrives.
func TestAnswersHeldTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	const limit, size = 100 << 10, 30 << 10
	budget := memory.NewBudget(limit)
	var buffers []*memory.Buffer
	whole := 0
	for range 10 {
		buffer := budget.NewBuffer()
		isWhole, err := buffer.Fill(strings.NewReader(strings.Repeat("x", size)), 256<<10)
		is.NoErr(err)
		if isWhole {
			whole++
			is.Equal(len(buffer.Data), size)
		}
		is.True(len(buffer.Data) > 0) // the beginning is passed on first
		buffers = append(buffers, &buffer)
	}
	is.True(whole > 0 && whole < 10)
	taken := 0
	for _, buffer := range buffers {
		taken += cap(buffer.Data)
	}
	is.True(taken <= limit+10*memory.UnreservedBytes)
	for _, buffer := range buffers {
		buffer.Free()
	}
	is.Equal(budget.Used(), int64(0))
}

// Small answers must be held whole while others use up the memory.
func TestSmallAnswersNeedNoReservation(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1)
	buffer := budget.NewBuffer()
	defer buffer.Free()
	whole, err := buffer.Fill(strings.NewReader(strings.Repeat("x", memory.UnreservedBytes-1)), 256<<10)
	is.NoErr(err)
	is.True(whole)
}

// An answer must be read up to its limit, and what breaks off must stay an error.
func TestHeldAnswerEnds(t *testing.T) {
	errBroken := errors.New("broken")
	tests := []struct {
		name  string
		size  int
		err   error
		whole bool
	}{
		{"empty", 0, io.EOF, true},
		{"at the limit", 9000, io.EOF, true},
		{"above the limit", 9001, io.EOF, false},
		{"broken off", 100, errBroken, false},
		{"broken off above the limit", 20_000, errBroken, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			budget := memory.NewBudget(1 << 20)
			buffer := budget.NewBuffer()
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", tt.size)), failing{tt.err})
			whole, err := buffer.Fill(body, 9000)
			is.Equal(whole, tt.whole)
			if tt.err == errBroken && tt.size <= 9000 {
				is.Equal(err, errBroken)
			} else {
				is.NoErr(err)
				is.True(len(buffer.Data) >= min(tt.size, 9001))
			}
			buffer.Free()
			is.Equal(budget.Used(), int64(0))
		})
	}
}

// failing fails all reads.
type failing struct{ err error }

// Read implements io.Reader.
func (f failing) Read([]byte) (int, error) { return 0, f.err }
