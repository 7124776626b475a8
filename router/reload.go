package main

import (
	"os"
	"slices"
	"time"

	"cowslipshunt.example/platform"
	"github.com/VictoriaMetrics/metrics"
)

// settingsFile watches the file that the settings were read from.
type settingsFile struct {
	path     string
	modified time.Time
	size     int64
}

// newSettingsFile returns the file as it is now; an empty path is never read again.
func newSettingsFile(path string) *settingsFile {
	f := &settingsFile{path: path}
	f.changed()
	return f
}

// changed tells whether the file was written since the last call. A file that is being replaced may be missing for a moment.
func (f *settingsFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modified) && info.Size() == f.size {
		return false
	}
	f.modified, f.size = info.ModTime(), info.Size()
	return true
}

// reload reads the settings anew and puts in force what may change while the process runs. Settings with findings change nothing.
func (n *node) reload(reason string) {
	n.file.changed()
	s, err := platform.LoadSettings(n.file.path)
	if err != nil {
		metrics.GetOrCreateCounter("router_settings_rejected_total").Inc()
		n.logger.Error().Str("Reason", reason).Str("File", n.file.path).Err(err).Msg("SettingsRejected")
		return
	}
	atStart, live := n.settings.Load().Changed(s)
	n.settings.Store(s)
	n.setBudget()
	n.logger.Info().Str("Reason", reason).Str("File", n.file.path).Strs("InForce", slices.Sorted(slices.Values(live))).
		Strs("AtNextStart", slices.Sorted(slices.Values(atStart))).Msg("Reloaded")
}
