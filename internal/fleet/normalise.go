package fleet

import (
	"cmp"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/prefix"
)

// The defaults of the schema.
const (
	// DefaultMaxHold is the default of Class.MaxHold.
	DefaultMaxHold = 2 * time.Second
	// DefaultDeadline is the default of Class.Deadline.
	DefaultDeadline = 30 * time.Second
	// DefaultPrefillMicrosPerToken is the default of Model.PrefillMicrosPerToken.
	DefaultPrefillMicrosPerToken = 100
	// DefaultShare is the default of Tenant.Share.
	DefaultShare = 1
	// DefaultRole is the default of Engine.Role.
	DefaultRole = "mixed"
)

// Normalise fills in the defaults of a document in place and lower-cases its key
// hashes. It is idempotent.
func Normalise(document *Document) {
	for index := range document.Models {
		model := &document.Models[index]
		model.BlockTokens = cmp.Or(model.BlockTokens, prefix.DefaultBlockTokens)
		model.PrefillMicrosPerToken = cmp.Or(model.PrefillMicrosPerToken, DefaultPrefillMicrosPerToken)
	}
	for index := range document.Classes {
		class := &document.Classes[index]
		class.MaxHold = cmp.Or(class.MaxHold, DefaultMaxHold)
		class.Deadline = cmp.Or(class.Deadline, DefaultDeadline)
	}
	for index := range document.Engines {
		engine := &document.Engines[index]
		engine.Role = cmp.Or(engine.Role, DefaultRole)
		engine.State = cmp.Or(engine.State, BackendActive)
	}
	for index := range document.Applications {
		document.Applications[index].State = cmp.Or(document.Applications[index].State, BackendActive)
	}
	for index := range document.Tenants {
		tenant := &document.Tenants[index]
		tenant.Share = cmp.Or(tenant.Share, DefaultShare)
		for position, hash := range tenant.KeyHashes {
			tenant.KeyHashes[position] = strings.ToLower(hash)
		}
	}
}
