package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Arrival is one request of the load.
type Arrival struct {
	// Number is the sequence number, starting at 1.
	Number uint64
	// At is the time since the start of the load.
	At      time.Duration
	Tenant  ident.Tenant
	Service ident.Service
	Class   ident.Class
	// Prompt is the rendered prompt of a model request.
	Prompt string
	// Messages is the chat rendered as Prompt; empty for a plain completion.
	Messages  []Message
	MaxTokens int
	// Application is whether this is an application request, with Method, Path,
	// Body and IdempotencyKey. Retryable requests have no key.
	Application    bool
	Method         string
	Path           string
	Body           string
	IdempotencyKey string
	// Retry is whether an earlier arrival had the same key and body.
	Retry bool
}

// Render returns the prompt text of a chat.
func Render(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString("<|" + message.Role + "|>\n" + message.Content + "\n")
	}
	prompt.WriteString("<|assistant|>\n")
	return prompt.String()
}

// Generator yields the arrivals of a load in order. It is not safe for
// concurrent use.
type Generator struct {
	spec   *Spec
	seed   uint64
	random *rand.Rand
	texts  *layerTexts
	now    time.Duration
	number uint64
	last   map[string]Arrival
}

// NewGenerator returns a generator for a validated spec.
func NewGenerator(spec *Spec, seed uint64) *Generator {
	return &Generator{
		spec:   spec,
		seed:   seed,
		random: newRandom(seed, "arrivals", spec.Name),
		texts:  &layerTexts{spec: spec, seed: seed, texts: map[string]*layerText{}},
		last:   map[string]Arrival{},
	}
}

// Next returns the next arrival. The sequence is infinite; the caller stops at
// its own duration.
func (g *Generator) Next() Arrival {
	g.advance()
	g.number++
	tenant := g.spec.Tenants[pickWeighted(g.random, g.tenantWeights())].Name
	source := pickWeighted(g.random, g.sourceWeights(g.now))
	arrival := Arrival{Number: g.number, At: g.now, Tenant: tenant}
	if source < len(g.spec.Classes) {
		return g.modelRequest(arrival, g.spec.Classes[source])
	}
	return g.call(arrival, g.spec.Calls[source-len(g.spec.Classes)])
}

// advance sets now to the time of the next arrival. Poisson arrivals are thinned
// from the highest rate, which is exact for a varying rate.
func (g *Generator) advance() {
	base := sum(g.sourceWeights(-1))
	if g.spec.Arrivals == "uniform" {
		rate := g.spec.Rate * sum(g.sourceWeights(g.now)) / base
		g.now += time.Duration(float64(time.Second) / rate)
		return
	}
	highest := base
	for _, event := range g.spec.Events {
		highest = max(highest, sum(g.sourceWeights(event.At)))
	}
	for {
		g.now += time.Duration(g.random.ExpFloat64() * float64(time.Second) / (g.spec.Rate * highest / base))
		if g.random.Float64()*highest < sum(g.sourceWeights(g.now)) {
			return
		}
	}
}

func (g *Generator) tenantWeights() []float64 {
	weights := make([]float64, len(g.spec.Tenants))
	for index, tenant := range g.spec.Tenants {
		weights[index] = tenant.Weight
	}
	return weights
}

// sourceWeights returns the weights of the classes, then of the calls, at the
// given time; a negative time is before all events.
func (g *Generator) sourceWeights(at time.Duration) []float64 {
	weights := make([]float64, 0, len(g.spec.Classes)+len(g.spec.Calls))
	for _, class := range g.spec.Classes {
		weight := class.Weight
		for _, event := range g.spec.Events {
			if event.Kind == EventFlood && event.Class == class.Name && event.activeAt(at) {
				weight *= event.Factor
			}
		}
		weights = append(weights, weight)
	}
	for _, call := range g.spec.Calls {
		weights = append(weights, call.Weight)
	}
	return weights
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func (g *Generator) modelRequest(arrival Arrival, class Class) Arrival {
	arrival.Service, arrival.Class = class.Service, class.Name
	arrival.MaxTokens = class.MinTokens + g.random.IntN(class.MaxTokens-class.MinTokens+1)
	texts := g.texts.prompts(arrival.Tenant, class, g.random, arrival.At)
	tail := fmt.Sprintf("%s %d: %s", class.Name, arrival.Number, writeText(g.random, vocabularies[g.spec.Vocabulary], class.TailTokens))
	if class.Plain {
		arrival.Prompt = strings.Join(append(texts, tail), "\n")
		return arrival
	}
	for _, text := range texts {
		arrival.Messages = append(arrival.Messages, Message{Role: "system", Content: text})
	}
	arrival.Messages = append(arrival.Messages, Message{Role: "user", Content: tail})
	arrival.Prompt = Render(arrival.Messages)
	return arrival
}

func (g *Generator) call(arrival Arrival, call Call) Arrival {
	arrival.Application = true
	arrival.Service, arrival.Class = call.Service, call.Class
	arrival.Method, arrival.Path = call.Method, call.Path
	if call.Method != "GET" {
		arrival.Body = fmt.Sprintf(`{"reference":%d,"amount":%d}`, arrival.Number, 1+g.random.IntN(500))
	}
	if call.Retryable {
		return arrival
	}
	kind := string(arrival.Tenant) + " " + call.Method + " " + call.Path
	retry := g.random.Float64() < call.RetryShare
	if earlier, known := g.last[kind]; known && retry {
		arrival.Body, arrival.IdempotencyKey, arrival.Retry = earlier.Body, earlier.IdempotencyKey, true
		return arrival
	}
	arrival.IdempotencyKey = fmt.Sprintf("%s-%d-%s-%d", g.spec.Name, g.seed, arrival.Tenant, arrival.Number)
	g.last[kind] = arrival
	return arrival
}
