package domain

import (
	"context"
	"sync"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/wire"
	"github.com/phuslu/log"
)

// Topics of the messages between the lease holder and the entries.
const (
	topicDocumentNotice = "DocumentNotice"
	topicEndpointStates = "EndpointStates"
	topicDrainBegin     = "DrainBegin"
	topicDrainAnswer    = "DrainAnswer"
	topicDrainEnd       = "DrainEnd"
)

// Entry is one entry of the domain and its address for control links.
type Entry struct {
	Instance wire.InstanceName
	Address  string
}

// links holds the control links to the entries during one epoch of the lease.
type links struct {
	epoch  wire.Epoch
	hub    *channel.Hub
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	answers []wire.DrainAnswer  // those received since the last call of collect
	linked  []wire.InstanceName // instances linked since the last call of collect
}

// dialLinks keeps links to all entries until close is called.
func dialLinks(self wire.Hello, secret channel.Secret, entries []Entry, logger *log.Logger) (*links, error) {
	router, err := channel.NewRouter(logger)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &links{epoch: self.Epoch, hub: channel.NewHub(self, logger, channel.WithSecret(secret)), cancel: cancel, done: make(chan struct{})}
	channel.Handle(router, l.hub, topicDrainAnswer, l.handleAnswer)
	channel.Handle(router, l.hub, channel.TopicLinkUp, l.handleLinkUp)
	go func() {
		defer close(l.done)
		if err := router.Run(ctx); err != nil {
			logger.Error().Err(err).Msg("message router of the control links failed")
		}
	}()
	<-router.Running()
	for _, e := range entries {
		l.hub.Dial(ctx, e.Address)
	}
	return l, nil
}

// close closes all links and waits for the message router to end.
func (l *links) close() {
	l.cancel()
	_ = l.hub.Close()
	<-l.done
}

// handleAnswer stores an entry's answer. It sets the answer's instance to the one at the other end of the link.
func (l *links) handleAnswer(_ context.Context, from wire.InstanceName, a wire.DrainAnswer) error {
	a.Instance = from
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
	return nil
}

// handleLinkUp stores the name of a newly linked instance.
func (l *links) handleLinkUp(_ context.Context, _ wire.InstanceName, peer wire.Hello) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linked = append(l.linked, peer.Instance)
	return nil
}

// collect returns and clears the drain answers and the newly linked instances since the last call.
func (l *links) collect() ([]wire.DrainAnswer, []wire.InstanceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answers, linked := l.answers, l.linked
	l.answers, l.linked = nil, nil
	return answers, linked
}

// send sends a message to one instance, or to all linked ones if the name is empty. Errors are ignored, as an instance whose
// link broke gets the whole state when it is linked again.
func (l *links) send(to wire.InstanceName, topic string, v any) {
	_ = channel.Send(l.hub, to, topic, v)
}
