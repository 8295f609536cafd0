package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// tableWriter gathers the first error of many writes.
type tableWriter struct {
	out *tabwriter.Writer
	err error
}

func (w *tableWriter) line(format string, arguments ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", arguments...)
	}
}

func newTableWriter(out io.Writer) *tableWriter {
	const padding = 2
	return &tableWriter{out: tabwriter.NewWriter(out, 0, 0, padding, ' ', tabwriter.AlignRight)}
}

func (w *tableWriter) flush() error {
	if w.err == nil {
		w.err = w.out.Flush()
	}
	return w.err
}

func (r *Result) writeSteady(out io.Writer) error {
	w := newTableWriter(out)
	w.line("nodes %d, engines %d, tenants' prefixes %d", r.Nodes, r.Engines, r.Prefixes)
	w.line("a node and second:\tcore %%\tbytes\tpayload\tbusiest\tmessages\t")
	for _, cost := range r.Steady.Duties {
		w.line("%s\t%.3f\t%.0f\t%.0f\t%.0f\t%.1f\t", cost.Duty, 100*cost.Core, cost.Bytes, cost.Payload, cost.BusiestBytes, cost.Messages)
	}
	if err := w.flush(); err != nil {
		return err
	}
	s := r.Steady
	w.line("heap a node: %.2f MB with gossip alone, %.2f MB under load", s.GossipHeap/1e6, s.LoadedHeap/1e6)
	w.line("requests %d, placed %d, refused %d, waited for the directory %.1f%%, prompt tokens cached %.1f%%",
		s.Requests, s.Placed, s.Refused, 100*s.Parked, 100*s.CachedShare)
	w.line("a node and second: %.0f cache events, %.1f lookups of which %.1f remote, %.1f reports, %.1f watches, %.2f member events",
		s.EventsRead, s.Lookups, s.Remote, s.Reports, s.Watches, s.MemberEvents)
	w.line("all nodes: %.1f reads of the table's head row a second", s.TablePolls)
	return w.flush()
}

func (r *Result) writeSpreads(out io.Writer) error {
	w := newTableWriter(out)
	w.line("configuration in force:\tmedian s\tmax s\tmissing\tbodies sent by one\tby the table\tgossip B/node\tmember events/node\tversion events/node\tmax by seed\t")
	for _, spread := range r.Spreads {
		w.line("%s\t%.2f\t%.2f\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%v\t", spread.Case, spread.Median.Seconds(), spread.Max.Seconds(),
			spread.Missing, spread.BusiestBodies, spread.TableBodies, spread.GossipBytes, spread.MemberEvents, spread.VersionEvents, rounded(spread.Seeds))
	}
	return w.flush()
}

func rounded(times []time.Duration) []time.Duration {
	short := make([]time.Duration, len(times))
	for index, each := range times {
		short[index] = each.Round(10 * time.Millisecond)
	}
	return short
}
