package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// chatRequest is the body of POST /v1/chat/completions. Other fields of the
// OpenAI API are accepted and ignored.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a string, or a list of text parts.
type chatContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		*c = ""
		return nil
	}
	if data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content is neither a string nor a list of text parts")
	}
	var text strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.New("a part of content is not of type \"text\"")
		}
		text.WriteString(part.Text)
	}
	*c = chatContent(text.String())
	return nil
}

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string     `json:"model"`
	Prompt    promptText `json:"prompt"`
	MaxTokens *int       `json:"max_tokens"`
	Stream    bool       `json:"stream"`
	N         *int       `json:"n"`
}

// promptText is a string, or a list with one string.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(data []byte) error {
	if data[0] == '"' {
		return json.Unmarshal(data, (*string)(p))
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil || len(list) != 1 {
		return errors.New("prompt is neither a string nor a list of one string")
	}
	*p = promptText(list[0])
	return nil
}

// readBody reads the whole body within the size and time limits.
func (e *exchange) readBody() ([]byte, error) {
	control := http.NewResponseController(e.writer)
	// Without deadline support (in tests) there is no time limit.
	_ = control.SetReadDeadline(time.Now().Add(e.server.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(e.writer, e.request.Body, e.server.config.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	return nil, fault.Wrap(err, fault.BadRequest, "the body could not be read").
		WithRemedy("send the whole body, with a correct Content-Length, within %s", e.server.config.BodyTimeout)
}

// decodeBody reads one JSON value and nothing after it.
func (e *exchange) decodeBody(target any) error {
	body, err := e.readBody()
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(target); err != nil {
		return jsonFault(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.BadRequest, "the JSON body is followed by other data").WithRemedy("send one JSON object and nothing after it")
	}
	return nil
}

// jsonName returns the JSON type that decodes into a Go kind.
func jsonName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

// jsonFault describes a JSON error by position and type, without values of the
// caller.
func jsonFault(err error) *fault.Fault {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fault.New(fault.BadRequest, "unexpected JSON %s at %.80q", wrongType.Value, "body."+wrongType.Field).
			WithRemedy("send %s there", jsonName(wrongType.Type.Kind()))
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fault.New(fault.BadRequest, "the body is not JSON, at byte %d", syntax.Offset).WithRemedy("send one JSON object")
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.New(fault.BadRequest, "the JSON body is empty or ends too early").WithRemedy("send one whole JSON object")
	}
	return fault.New(fault.BadRequest, "the body is invalid: %s", err.Error()).WithRemedy("correct the field named")
}
