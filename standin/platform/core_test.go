package platform_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/standin/platform"
)

func put(key string) protocol.Write    { return protocol.Write{Key: key, Value: []byte("v")} }
func remove(key string) protocol.Write { return protocol.Write{Key: key, Delete: true} }

func insert(key string) protocol.Transaction {
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, Version: 0}},
		Writes:     []protocol.Write{put(key)},
	}
}

func TestTableApply(t *testing.T) {
	blind := func(writes ...protocol.Write) protocol.Transaction { return protocol.Transaction{Writes: writes} }
	onVersion := func(version uint64, writes ...protocol.Write) protocol.Transaction {
		return protocol.Transaction{Conditions: []protocol.Condition{{Key: "a", Version: version}}, Writes: writes}
	}
	cases := []struct {
		name      string
		before    []protocol.Transaction
		last      protocol.Transaction
		committed bool
		version   uint64 // of the first row returned
	}{
		{"insert if absent", nil, insert("a"), true, 1},
		{"insert over a row fails and returns it", []protocol.Transaction{insert("a")}, insert("a"), false, 1},
		{"compare and swap", []protocol.Transaction{insert("a")}, onVersion(1, put("a")), true, 2},
		{"stale compare and swap", []protocol.Transaction{insert("a"), blind(put("a"))}, onVersion(1, put("a")), false, 2},
		{"versions continue after a delete", []protocol.Transaction{insert("a"), blind(remove("a"))}, insert("a"), true, 3},
		{"a version from before a delete never matches", []protocol.Transaction{insert("a"), blind(remove("a")), insert("a")}, onVersion(1, put("a")), false, 3},
		{"a deleted row does not exist", []protocol.Transaction{insert("a"), blind(remove("a"))}, onVersion(1, put("a")), false, 0},
		{"deleting a missing row has no effect", []protocol.Transaction{blind(remove("a"))}, insert("a"), true, 1},
		{"one failed condition prevents all writes", []protocol.Transaction{insert("a")}, protocol.Transaction{
			Conditions: []protocol.Condition{{Key: "a", Version: 1}, {Key: "b", Version: 4}}, Writes: []protocol.Write{put("a"), put("b")},
		}, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := platform.NewTable()
			for _, transaction := range c.before {
				_, err := table.Apply(transaction)
				is.NoErr(err)
			}
			beforeRows := table.List("", 10)
			result, err := table.Apply(c.last)
			is.NoErr(err)
			is.Equal(result.Committed, c.committed)
			is.Equal(result.Rows[0].Version, c.version)
			if !c.committed {
				is.Equal(table.List("", 10), beforeRows) // nothing was written
			}
		})
	}
}

func TestTableRejectsDuplicateWrites(t *testing.T) {
	is := is.New(t)
	table := platform.NewTable()
	_, err := table.Apply(protocol.Transaction{Writes: []protocol.Write{put("a"), remove("a")}})
	is.True(fault.Is(err, fault.BadRequest))
	is.Equal(len(table.List("", 1).Rows), 0)
}

func TestTableList(t *testing.T) {
	is := is.New(t)
	table := platform.NewTable()
	_, err := table.Apply(protocol.Transaction{Writes: []protocol.Write{put("b/2"), put("b/1"), put("c"), put("b/3")}})
	is.NoErr(err)
	list := table.List("b/", 2)
	is.Equal([]string{list.Rows[0].Key, list.Rows[1].Key}, []string{"b/1", "b/2"})
	is.True(list.More)
	is.True(!table.List("b/", 3).More)
}

func TestMachineListVisibleAfterLag(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	log := platform.NewMachineLog(5*time.Second, []protocol.Machine{{Name: "first"}})
	log.Replace([]protocol.Machine{{Name: "second"}}, start)
	log.Replace([]protocol.Machine{{Name: "third"}}, start.Add(time.Second))
	for seconds, name := range []string{"first", "first", "first", "first", "first", "second", "third"} {
		now := start.Add(time.Duration(seconds) * time.Second)
		list := log.Visible(now)
		is.Equal(list.Machines[0].Name, name)
		is.Equal(list.AsOf, now.Add(-5*time.Second))
	}
}
