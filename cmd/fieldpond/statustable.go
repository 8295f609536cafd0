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
	// incarnationSuffixLength is how many last characters of an incarnation the
	// table shows; the first ones are the time of the start.
	incarnationSuffixLength = 8
	emptyCell               = "-"
	percent                 = 100
)

// writeTable prints the report as text tables.
func (r *statusReport) writeTable(writer io.Writer) error {
	table := &statusTable{tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)}
	table.summary(r)
	if len(r.Routers) > 0 {
		table.members(r)
		table.engines(r.Routers)
		table.applications(r.Routers)
		table.routers(r.Routers)
		table.control(r.Routers)
		table.claimsAndGossip(r.Routers)
	}
	return table.Flush()
}

// statusTable prints the sections of a report. Flush returns write errors.
type statusTable struct{ *tabwriter.Writer }

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
	_, _ = fmt.Fprintln(t, text+missingText(report.Lagging, report.Unanswered))
}

// members prints the members as the first router reports them, each with the
// highest version that any router reported for it.
func (t *statusTable) members(report *statusReport) {
	t.row("\nMEMBER", "ZONE", "STATE", "VERSION", "ADDRESS")
	for _, member := range report.Routers[0].Members {
		version := max(member.FleetVersion, report.versions[member.Node])
		versionText := fmt.Sprint(version)
		if isLive(member) && version < report.FleetVersion {
			versionText += " (lags)"
		}
		t.row(member.Node, member.Zone, member.State, versionText, member.Address)
	}
}

// engines prints the engines as the first router reports them, and how many of
// the queried routers consider each alive.
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
			shortIncarnation(string(engine.Incarnation)), engine.Running, engine.Waiting, engine.QueuedPrefillTokens,
			fmt.Sprintf("%d of %s", engine.OwnInFlight, limitText(engine.ConcurrencyLimit)), loadedText(engine.Loaded))
	}
}

// applications prints the applications as the first router reports them, and
// how many requests all queried routers have in flight on each.
func (t *statusTable) applications(routers []status.Router) {
	alive, inFlight := map[ident.Application]int{}, map[ident.Application]int{}
	for _, router := range routers {
		for _, application := range router.Applications {
			inFlight[application.Application] += application.OwnInFlight
			if application.Alive {
				alive[application.Application]++
			}
		}
	}
	t.row("\nAPPLICATION", "ZONE", "STATE", "ALIVE TO", "INCARNATION", "RUNNING", "IN FLIGHT")
	for _, application := range routers[0].Applications {
		t.row(application.Application, application.Zone, backendState(application.Alive, application.Draining),
			fmt.Sprintf("%d of %d", alive[application.Application], len(routers)), shortIncarnation(string(application.Incarnation)),
			application.Running, inFlight[application.Application])
	}
}

func backendState(alive, draining bool) string {
	switch {
	case !alive:
		return "dead"
	case draining:
		return "leaving"
	default:
		return "alive"
	}
}

func shortIncarnation(incarnation string) string {
	if incarnation == "" {
		return emptyCell
	}
	return incarnation[max(0, len(incarnation)-incarnationSuffixLength):]
}

func limitText(limit int) string {
	if limit == 0 {
		return "no limit"
	}
	return fmt.Sprint(limit)
}

func loadedText(loaded []status.Loaded) string {
	if len(loaded) == 0 {
		return emptyCell
	}
	var names []string
	for _, version := range loaded {
		names = append(names, fmt.Sprintf("%s:%s", version.Model, version.Version))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// routers prints the queue and the decisions of each queried router. BELIEVED
// and FOUND are shares of the prompt tokens of answered attempts.
func (t *statusTable) routers(routers []status.Router) {
	t.row("\nROUTER", "STATE", "WAITING", "IN FLIGHT", "PLACED", "HELD", "REFUSED", "BELIEVED", "FOUND", "TOO HIGH", "RIGHT", "TOO LOW")
	for _, router := range routers {
		decisions := router.Decisions
		t.row(router.Node, router.State, queueText(router.Queue), router.Queue.InFlight, decisions.Placed, decisions.Held, decisions.Refused,
			percentText(decisions.CreditedTokens, decisions.PromptTokens), percentText(decisions.CachedTokens, decisions.PromptTokens),
			decisions.BeliefHigh, decisions.BeliefRight, decisions.BeliefLow)
	}
}

// queueText returns the depth and its parts by priority, such as "5 (p0:2 p3:3)".
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

func percentText(part, whole uint64) string {
	if whole == 0 {
		return emptyCell
	}
	return fmt.Sprintf("%.1f %%", percent*float64(part)/float64(whole))
}

// control prints each lease over a group of engines once: as its holder reports
// it if that router was queried, else only with the holder.
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
				t.row(group.Lease, holderText(group, routers), emptyCell, emptyCell, emptyCell, emptyCell, emptyCell, emptyCell, emptyCell, emptyCell)
			}
		}
	}
}

// holderText names the lease holder that another router reports, or else the
// contenders.
func holderText(group status.ControlGroup, routers []status.Router) string {
	for _, router := range routers {
		for _, other := range router.Control {
			if other.Lease == group.Lease && other.Holder != "" {
				return fmt.Sprintf("%s (ask it)", other.Holder)
			}
		}
	}
	var names []string
	for _, node := range group.Contenders {
		names = append(names, string(node))
	}
	return fmt.Sprintf("not seen (contenders: %s)", strings.Join(names, ", "))
}

// claimsAndGossip prints each queried router's claims, gossip traffic and dropped
// ring items.
func (t *statusTable) claimsAndGossip(routers []status.Router) {
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

// droppedText names the rings that dropped items, or is "none".
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
