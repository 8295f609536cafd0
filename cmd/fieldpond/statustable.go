package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/status"
)

const (
	// shownIncarnation is how many characters of an incarnation the table shows:
	// the last ones, since it begins with the time of the start.
	shownIncarnation = 8
	// nothing stands for an empty cell.
	nothing = "-"
	// percent turns a share into percent.
	percent = 100
)

// writeTable prints the report for people.
func (r *statusReport) writeTable(writer io.Writer) error {
	table := &statusTable{tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)}
	table.summary(r)
	if len(r.Routers) > 0 {
		table.members(r)
		table.engines(r.Routers)
		table.applications(r.Routers)
		table.routers(r.Routers)
		table.control(r.Routers)
		table.exchanges(r.Routers)
	}
	return table.Flush()
}

// statusTable prints the sections of a report. Write errors show at Flush.
type statusTable struct{ *tabwriter.Writer }

// row prints one line of cells.
func (t *statusTable) row(cells ...any) {
	for index, cell := range cells {
		if index > 0 {
			_, _ = t.Write([]byte("\t"))
		}
		_, _ = fmt.Fprint(t, cell)
	}
	_, _ = t.Write([]byte("\n"))
}

func (t *statusTable) summary(report *statusReport) {
	text := fmt.Sprintf("fleet version %d in force on %d of %d live routers", report.FleetVersion, report.Live-len(report.Lagging), report.Live)
	if report.Live == 0 {
		text = "no router answered"
	}
	_, _ = fmt.Fprintln(t, text+whoLacks(report.Lagging, report.Unanswered))
}

// members prints the members as the first router sees them, each with the
// newest version that any router told of it.
func (t *statusTable) members(report *statusReport) {
	t.row("\nMEMBER", "ZONE", "STATE", "VERSION", "ADDRESS")
	for _, member := range report.Routers[0].Members {
		newest := max(member.FleetVersion, report.seen[member.Node])
		version := fmt.Sprint(newest)
		if isLive(member) && newest < report.FleetVersion {
			version += " (lags)"
		}
		t.row(member.Node, member.Zone, member.State, version, member.Address)
	}
}

// engines prints the engines as the first router sees them, and how many of
// the routers asked believe each alive.
func (t *statusTable) engines(routers []status.Router) {
	alive := map[ident.Engine]int{}
	for _, router := range routers {
		for _, engine := range router.Engines {
			if engine.Alive {
				alive[engine.Engine]++
			}
		}
	}
	t.row("\nENGINE", "ZONE", "STATE", "ALIVE TO", "INCARNATION", "RUNNING", "WAITING", "PREFILL QUEUE", "LIMIT", "LOADED")
	for _, engine := range routers[0].Engines {
		t.row(engine.Engine, engine.Zone, backendState(engine.Alive, engine.Draining), fmt.Sprintf("%d of %d", alive[engine.Engine], len(routers)),
			shorten(string(engine.Incarnation)), engine.Running, engine.Waiting, engine.QueuedPrefillTokens,
			fmt.Sprintf("%d of %s", engine.OwnInFlight, limitText(engine.ConcurrencyLimit)), loadedText(engine.Loaded))
	}
}

// applications prints the applications as the first router sees them, and how
// many requests all routers asked have on each.
func (t *statusTable) applications(routers []status.Router) {
	alive, calls := map[ident.Application]int{}, map[ident.Application]int{}
	for _, router := range routers {
		for _, application := range router.Applications {
			calls[application.Application] += application.OwnInFlight
			if application.Alive {
				alive[application.Application]++
			}
		}
	}
	t.row("\nAPPLICATION", "ZONE", "STATE", "ALIVE TO", "INCARNATION", "RUNNING", "IN FLIGHT")
	for _, application := range routers[0].Applications {
		t.row(application.Application, application.Zone, backendState(application.Alive, application.Draining),
			fmt.Sprintf("%d of %d", alive[application.Application], len(routers)), shorten(string(application.Incarnation)),
			application.Running, calls[application.Application])
	}
}

func backendState(alive, leaving bool) string {
	switch {
	case !alive:
		return "dead"
	case leaving:
		return "leaving"
	default:
		return "alive"
	}
}

func shorten(incarnation string) string {
	if incarnation == "" {
		return nothing
	}
	return incarnation[max(0, len(incarnation)-shownIncarnation):]
}

func limitText(limit int) string {
	if limit == 0 {
		return "no limit"
	}
	return fmt.Sprint(limit)
}

func loadedText(loaded []status.Loaded) string {
	if len(loaded) == 0 {
		return nothing
	}
	var names []string
	for _, version := range loaded {
		names = append(names, fmt.Sprintf("%s:%s", version.Model, version.Version))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// routers prints the queue and the decisions of each router asked. Believed
// and found are shares of the prompt tokens of answered attempts.
func (t *statusTable) routers(routers []status.Router) {
	t.row("\nROUTER", "STATE", "WAITING", "IN FLIGHT", "PLACED", "HELD", "REFUSED", "BELIEVED", "FOUND", "TOO HIGH", "RIGHT", "TOO LOW")
	for _, router := range routers {
		decided := router.Decisions
		t.row(router.Node, router.State, queueText(router.Queue), router.Queue.InFlight, decided.Placed, decided.Held, decided.Refused,
			share(decided.CreditedTokens, decided.PromptTokens), share(decided.CachedTokens, decided.PromptTokens),
			decided.BeliefHigh, decided.BeliefRight, decided.BeliefLow)
	}
}

// queueText shows the depth, and its parts by priority, such as "5 (p0:2 p3:3)".
func queueText(queue status.Queue) string {
	text := fmt.Sprint(queue.Waiting)
	var parts []string
	for _, depth := range queue.ByPriority {
		parts = append(parts, fmt.Sprintf("p%d:%d", depth.Priority, depth.Waiting))
	}
	if len(parts) > 0 {
		text += " (" + strings.Join(parts, " ") + ")"
	}
	return text
}

func share(part, whole uint64) string {
	if whole == 0 {
		return nothing
	}
	return fmt.Sprintf("%.1f %%", percent*float64(part)/float64(whole))
}

// control prints each lease over a group of engines once: with what its holder
// tells if that router was asked, else with who is to be asked.
func (t *statusTable) control(routers []status.Router) {
	t.row("\nCONTROL LEASE", "HOLDER", "FENCE", "SETTLED", "LOADING", "ORDERS", "REPEATED", "REFUSED", "UNLOADS PUT OFF", "STALE FENCES")
	shown := map[string]bool{}
	for _, router := range routers {
		for _, group := range router.Control {
			if group.Held && !shown[group.Lease] {
				shown[group.Lease] = true
				t.row(group.Lease, router.Node, group.Fence, fmt.Sprintf("%d of %d", group.Settled, group.Engines),
					group.Loading, group.Orders, group.Retried, group.Refused, group.PostponedUnloads, group.StaleFences)
			}
		}
	}
	for _, router := range routers {
		for _, group := range router.Control {
			if !shown[group.Lease] {
				shown[group.Lease] = true
				t.row(group.Lease, holderText(group, routers), nothing, nothing, nothing, nothing, nothing, nothing, nothing, nothing)
			}
		}
	}
}

// holderText says who is in charge of a group, or who contends for it, if none
// of the routers asked says that it is.
func holderText(group status.ControlGroup, routers []status.Router) string {
	for _, router := range routers {
		for _, seen := range router.Control {
			if seen.Lease == group.Lease && seen.Holder != "" {
				return fmt.Sprintf("%s (ask it)", seen.Holder)
			}
		}
	}
	var names []string
	for _, node := range group.Contenders {
		names = append(names, string(node))
	}
	return fmt.Sprintf("not seen (contenders: %s)", strings.Join(names, ", "))
}

// exchanges prints what each router asked exchanged with the table and with
// other routers, and what its rings lost.
func (t *statusTable) exchanges(routers []status.Router) {
	t.row("\nROUTER", "CLAIMS GRANTED", "SHOWN", "REFUSED", "WAITING", "GOSSIP OUT", "GOSSIP IN", "GOSSIP REFUSED", "RING ITEMS DROPPED")
	for _, router := range routers {
		claims, gossip := router.Claims, router.Gossip
		t.row(router.Node, claims.Granted, claims.AlreadyClaimed, claims.Refused, claims.Waiting,
			byteText(gossip.BytesSent), byteText(gossip.BytesReceived), gossip.Refused, droppedText(router.Rings))
	}
}

func byteText(bytes uint64) string {
	const kibibyte = 1024
	if bytes < kibibyte {
		return fmt.Sprintf("%d B", bytes)
	}
	return fmt.Sprintf("%d KiB", bytes/kibibyte)
}

// droppedText names the rings that lost items, or is "none".
func droppedText(rings []status.Ring) string {
	var parts []string
	for _, ring := range rings {
		if ring.Dropped > 0 {
			parts = append(parts, fmt.Sprintf("%s: %d", ring.Name, ring.Dropped))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
