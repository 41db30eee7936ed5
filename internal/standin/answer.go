package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token is word i of the answer to a prompt by a version of a model. It is a
// fixed function, so that an answer that is cut, mixed, swapped or doubled is
// told apart from a right one.
func Token(prompt, digest, adapter string, i int) string {
	h := xxhash.Sum64String(prompt + "\x00" + digest + "\x00" + adapter + "\x00" + strconv.Itoa(i))
	return strconv.FormatUint(h, 36) + " "
}

// Answer is the whole answer of n tokens.
func Answer(prompt, digest, adapter string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, digest, adapter, i))
	}
	return b.String()
}

// ChatRequest is the part of a chat completion request that is understood.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	User      string    `json:"user,omitempty"` // Taken as the reference in ledgers.
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt joins the messages.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

const defaultTokens = 16

// Tokens returns how many tokens the answer has.
func (r *ChatRequest) Tokens() int {
	if r.MaxTokens <= 0 {
		return defaultTokens
	}
	return r.MaxTokens
}

// Choice, Delta and Completion are the shapes of answers.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Completion is an answer, or one event of a streamed one.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"` // The digest of the version that answers.
	Choices []Choice `json:"choices"`
}
