package cvnode

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"comfreyvale/io/operators/cvnodesettings"
)

// settingsPoll is the time between two looks at the settings file, which may change without a signal.
const settingsPoll = 2 * time.Second

// watchSettings takes in a changed settings file, at the signal for that or when its content differs.
func (n *Node) watchSettings(ctx context.Context) error {
	if n.SettingsFile == "" {
		return nil
	}
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last, err := os.ReadFile(n.SettingsFile)
	if err != nil {
		n.Logger.WithError(err).Warn("settings file cannot be read")
	}
	for {
		select {
		case <-hangUps:
			last = n.reload(last, true)
		case <-ticker.C:
			last = n.reload(last, false)
		case <-ctx.Done():
			return nil
		}
	}
}

// reload takes new settings into force and returns the content that was read. A bad file leaves the last good one.
func (n *Node) reload(last []byte, asked bool) []byte {
	content, err := os.ReadFile(n.SettingsFile)
	if err != nil {
		n.Logger.WithError(err).Warn("settings file cannot be read, the last settings stay in force")
		return last
	}
	if bytes.Equal(content, last) {
		if asked {
			n.Logger.Info("settings reloaded, nothing has changed")
		}
		return last
	}
	settings, err := cvnodesettings.Parse(n.SettingsFile, content)
	if err != nil {
		n.Logger.WithError(err).Error("settings are invalid, the last ones stay in force")
		return content
	}
	n.settings.Store(settings)
	n.Logger.Info("settings reloaded")
	return content
}
