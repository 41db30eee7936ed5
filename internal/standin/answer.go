package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the answer to a prompt by a version of a model. It is a fixed
// function, so that truncated, mixed, swapped and duplicated answers can be detected.
func Token(prompt, digest, adapter string, i int) string {
	h := xxhash.Sum64String(prompt + "\x00" + digest + "\x00" + adapter + "\x00" + strconv.Itoa(i))
	return strconv.FormatUint(h, 36) + " "
}

// Answer returns the complete answer of n tokens.
func Answer(prompt, digest, adapter string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, digest, adapter, i))
	}
	return b.String()
}

// ChatRequest holds the supported fields of a chat completion request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	User      string    `json:"user,omitempty"` // Used as the reference in ledgers.
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the roles and contents of all messages as one text.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

const defaultTokens = 16

// Tokens returns the number of tokens of the answer.
func (r *ChatRequest) Tokens() int {
	if r.MaxTokens <= 0 {
		return defaultTokens
	}
	return r.MaxTokens
}

// Choice is one choice of a completion, with a Message or, in a stream, a Delta.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Completion is an answer, or one event of a streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"` // The digest of the version that made the answer.
	Choices []Choice `json:"choices"`
}
