package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

const (
	// MaxFileBytes is the largest fleet file that is read.
	MaxFileBytes = 32 << 20
	// maxStructure bounds the characters that can open a YAML node, and so the
	// memory that parsing needs.
	maxStructure = 2 << 20
	// maxNodes bounds the nodes after aliases are expanded, so that a short file
	// cannot expand into a huge one.
	maxNodes = 2 << 20
)

// Digest is the SHA-256 of a fleet file's bytes, in hex.
type Digest string

// DigestOf returns the digest of a fleet file's bytes.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Parse reads and checks a whole fleet file and fills in its defaults. It lists all
// problems that it can find at once; the document is nil if any of them is an error.
// name is the file's name in messages.
func Parse(data []byte, name string) (*Document, Problems) {
	problems := newCollector(name)
	root := parseTree(data, problems)
	if root == nil {
		return nil, problems.problems()
	}
	document := &Document{}
	reader := &decoder{problems: problems, budget: maxNodes, interned: map[string]string{}}
	reader.decode(root, reflect.ValueOf(document).Elem())
	if reader.budget < 0 {
		return nil, problems.problems()
	}
	checkDocument(document, &locator{root: root, problems: problems})
	if problems.hasErrors() {
		return nil, problems.problems()
	}
	Normalise(document)
	return document, problems.problems()
}

// parseTree returns the root node of the file's only YAML document, or nil after
// recording the problem.
func parseTree(data []byte, problems *collector) *yaml.Node {
	if len(data) > MaxFileBytes {
		problems.add(SeverityError, 0, "(file)", fmt.Sprintf("is %d bytes long, above the limit of %d", len(data), MaxFileBytes), "split the deployment")
		return nil
	}
	if countStructure(data) > maxStructure {
		problems.add(SeverityError, 0, "(file)", "has too many YAML nodes", "split the deployment")
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var tree yaml.Node
	if err := decodeNode(decoder, &tree); err != nil {
		addSyntaxProblem(err, problems)
		return nil
	}
	var second yaml.Node
	if err := decodeNode(decoder, &second); err != io.EOF {
		problems.add(SeverityError, second.Line, "(file)", "holds more than one YAML document", "remove everything from the second '---' on")
		return nil
	}
	if len(tree.Content) != 1 {
		problems.add(SeverityError, 1, "(file)", "is empty", "start from examples/muldenring/fleet.yaml")
		return nil
	}
	return tree.Content[0]
}

// decodeNode reads one YAML document. It turns a panic of the YAML library, as a
// hostile file may cause, into an error.
func decodeNode(decoder *yaml.Decoder, into *yaml.Node) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = errors.Errorf("the YAML decoder panicked: %v", recovered)
		}
	}()
	return decoder.Decode(into)
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

func addSyntaxProblem(err error, problems *collector) {
	if err == io.EOF {
		problems.add(SeverityError, 1, "(file)", "is empty", "start from examples/muldenring/fleet.yaml")
		return
	}
	line := 0
	if match := syntaxLine.FindStringSubmatch(err.Error()); match != nil {
		line, _ = strconv.Atoi(match[1])
	}
	problems.add(SeverityError, line, "(file)", "is not YAML: "+err.Error(), "correct the syntax; check indentation, colons and quotes near this line")
}

// countStructure counts the characters that can open a YAML node.
func countStructure(data []byte) int {
	count := 0
	for _, character := range data {
		switch character {
		case '\n', ',', '[', '{', ':', '-', '?':
			count++
		}
	}
	return count
}
