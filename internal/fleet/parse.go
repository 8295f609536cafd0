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
	// MaxFileBytes is the largest fleet file that is read, in bytes. A file of
	// 23,000 tenants takes about an eighth of it.
	MaxFileBytes = 32 << 20
	// maxStructure bounds the characters of a file that can open a YAML node,
	// and so the memory that parsing takes.
	maxStructure = 2 << 20
	// maxNodes bounds the nodes read after aliases are followed, so that a
	// short file cannot unfold into a huge one.
	maxNodes = 2 << 20
)

// Digest is the SHA-256 of a fleet file's bytes, in hex. It names the file.
type Digest string

// DigestOf returns the digest of a fleet file's bytes.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Parse reads and checks a whole fleet file and fills in its defaults. The
// document is nil if any problem is an error; warnings come with a document.
// Every fault that can be found in one go is listed. name stands for the file
// in messages.
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

// parseTree returns the root node of the file's only YAML document, or nil
// after recording why there is none.
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

// decodeNode reads one YAML document. A panic inside the YAML library, which
// a hostile file might find, becomes an error.
func decodeNode(decoder *yaml.Decoder, into *yaml.Node) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = errors.Errorf("the YAML reader gave up: %v", recovered)
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
	problems.add(SeverityError, line, "(file)", "is not YAML: "+err.Error(), "correct the syntax; look at indentation, colons and quotes near this line")
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
