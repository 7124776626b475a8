package domain

import (
	"context"
	"sync"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/wire"
	"github.com/phuslu/log"
)

// Topics of the control links.
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

// links are the control links of one term of office.
type links struct {
	epoch  wire.Epoch
	hub    *channel.Hub
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	answers []wire.DrainAnswer
	up      []wire.InstanceName
}

// openLinks dials every entry until close is called.
func openLinks(self wire.Hello, secret channel.Secret, entries []Entry, logger *log.Logger) (*links, error) {
	router, err := channel.NewRouter(logger)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &links{epoch: self.Epoch, hub: channel.NewHub(self, logger, channel.WithSecret(secret)), cancel: cancel, done: make(chan struct{})}
	channel.Handle(router, l.hub, topicDrainAnswer, l.takeAnswer)
	channel.Handle(router, l.hub, channel.TopicLinkUp, l.takeUp)
	go func() {
		defer close(l.done)
		if err := router.Run(ctx); err != nil {
			logger.Error().Err(err).Msg("message router ended")
		}
	}()
	<-router.Running()
	for _, e := range entries {
		l.hub.Dial(ctx, e.Address)
	}
	return l, nil
}

func (l *links) close() {
	l.cancel()
	_ = l.hub.Close()
	<-l.done
}

func (l *links) takeAnswer(_ context.Context, from wire.InstanceName, a wire.DrainAnswer) error {
	a.Instance = from
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
	return nil
}

func (l *links) takeUp(_ context.Context, _ wire.InstanceName, peer wire.Hello) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = append(l.up, peer.Instance)
	return nil
}

// take returns the drain answers and the newly linked instances since the last call.
func (l *links) take() ([]wire.DrainAnswer, []wire.InstanceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answers, up := l.answers, l.up
	l.answers, l.up = nil, nil
	return answers, up
}

// send sends a message to one instance, or to all linked ones with an empty name. An instance whose link just broke gets
// everything anew when it is linked again.
func (l *links) send(to wire.InstanceName, topic string, v any) {
	_ = channel.Send(l.hub, to, topic, v)
}
