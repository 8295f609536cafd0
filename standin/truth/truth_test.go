package truth

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
)

func TestLogKeepsNewestRecords(t *testing.T) {
	is := is.New(t)
	var file, served bytes.Buffer
	log := NewLog(3, &file)
	for tokens := range 5 {
		log.Append(Record{Time: time.Unix(int64(tokens), 0).UTC(), Kind: Finished, PromptTokens: tokens, Reused: []Reuse{{Tenant: "t1", Tokens: tokens}}})
	}
	is.Equal(log.Dropped(), uint64(2))
	_, err := log.WriteTo(&served)
	is.NoErr(err)
	kept, err := Read(&served)
	is.NoErr(err)
	is.Equal(kept, log.Records())
	is.Equal(kept[0].PromptTokens, 2)
	all, err := Read(&file)
	is.NoErr(err)
	is.Equal(len(all), 5)
	is.Equal(all[2:], kept)
}

func TestReadRejectsMalformedLines(t *testing.T) {
	is := is.New(t)
	_, err := Read(strings.NewReader("{\"kind\":\"started\"}\n{\"kind\":"))
	is.True(fault.Is(err, fault.BadRequest))
	is.True(strings.Contains(err.Error(), "line 2"))
}
