package proof

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cowslipshunt.example/wire"
)

// callTimeout bounds one request of a test's caller.
const callTimeout = 60 * time.Second

// result is the answer to one request.
type result struct {
	status    int
	outcome   string
	requestID string
	body      string
	// tokens are the texts of a stream's events.
	tokens []string
	// complete reports whether the whole answer arrived; a complete stream ends with [DONE].
	complete bool
	err      error
}

// caller is a client with its own connections.
type caller struct {
	key  string
	http *http.Client
}

func newCaller(key string) *caller {
	return &caller{key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: callTimeout}}
}

func (c *caller) request(method, address, path, body string, header http.Header) (*http.Request, error) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	return r, nil
}

// call builds a request, sends it and reads the full answer.
func (c *caller) call(method, address, path, body string, header http.Header) result {
	r, err := c.request(method, address, path, body, header)
	if err != nil {
		return result{err: err}
	}
	return c.send(r)
}

// send sends a request and reads the full answer.
func (c *caller) send(r *http.Request) result {
	answer, err := c.http.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return result{
		status:    answer.StatusCode,
		outcome:   answer.Header.Get("Outcome"),
		requestID: answer.Header.Get("Request-Id"),
		body:      string(data),
		complete:  err == nil,
		err:       err,
	}
}

// book sends a booking. An empty idempotencyKey sends no Idempotency-Key header.
func (c *caller) book(address, booking, idempotencyKey string) result {
	header := http.Header{"Content-Type": {"application/json"}}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.call(http.MethodPost, address, "/services/"+testService+"/bookings", fmt.Sprintf(`{"Booking":%q}`, booking), header)
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%v,"messages":[{"role":"user","content":%q}]}`, testModel, tokens, stream, prompt)
}

// chat requests a chat answer that is not streamed; body is then the answer's text.
func (c *caller) chat(address, prompt string, tokens int) result {
	res := c.call(http.MethodPost, address, "/v1/chat/completions", chatBody(prompt, tokens, false), nil)
	if res.status != http.StatusOK {
		return res
	}
	var completion struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(res.body), &completion); err != nil || len(completion.Choices) != 1 {
		res.err = errors.Join(err, errors.New("incomplete answer"))
		return res
	}
	res.body = completion.Choices[0].Message.Content
	return res
}

// stream requests a streamed chat answer; onToken is called after each token with the number of tokens so far.
func (c *caller) stream(address, prompt string, tokens int, onToken func(n int)) result {
	r, err := c.request(http.MethodPost, address, "/v1/chat/completions", chatBody(prompt, tokens, true), nil)
	if err != nil {
		return result{err: err}
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer answer.Body.Close()
	res := result{status: answer.StatusCode, outcome: answer.Header.Get("Outcome"), requestID: answer.Header.Get("Request-Id")}
	if res.status != http.StatusOK {
		data, _ := io.ReadAll(answer.Body)
		res.body = string(data)
		return res
	}
	res.readStream(answer.Body, onToken)
	res.body = strings.Join(res.tokens, "")
	return res
}

func (res *result) readStream(body io.Reader, onToken func(n int)) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			res.complete = true
			continue
		}
		res.addToken(data)
		if onToken != nil {
			onToken(len(res.tokens))
		}
	}
	res.err = lines.Err()
}

func (res *result) addToken(data []byte) {
	var chunk struct {
		Choices []struct{ Delta struct{ Content *string } }
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return
	}
	if text := chunk.Choices[0].Delta.Content; text != nil && *text != "" {
		res.tokens = append(res.tokens, *text)
	}
}

// engineRuns lists the requests that the engines began to run.
func (s *system) engineRuns() []wire.EngineReceived {
	var all []wire.EngineReceived
	for _, e := range s.engines {
		all = append(all, get[wire.EngineReceivedList](e.address, "/received").Requests...)
	}
	return all
}

// bookingRuns counts the runs of each booking over all services.
func (s *system) bookingRuns() map[string]int {
	runs := map[string]int{}
	for _, e := range s.services {
		for _, r := range get[wire.ServiceReceivedList](e.address, "/received").Requests {
			if r.Booking != "" {
				runs[r.Booking]++
			}
		}
	}
	return runs
}
