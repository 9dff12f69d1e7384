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

// settingsPollInterval is the interval between checks of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and when its content has changed.
func (n *Node) watchSettings(ctx context.Context) error {
	if n.SettingsFile == "" {
		return nil
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(n.SettingsFile)
	if err != nil {
		n.Logger.WithError(err).Warn("cannot read the settings file")
	}
	for {
		select {
		case <-hangups:
			last = n.reload(last, true)
		case <-ticker.C:
			last = n.reload(last, false)
		case <-ctx.Done():
			return nil
		}
	}
}

// storeSettings puts settings in force.
func (n *Node) storeSettings(settings *cvnodesettings.Settings) {
	regions := settings.Regions()
	n.regions.Store(&regions)
	n.settings.Store(settings)
}

// reload applies changed settings and returns the content that was read. An invalid file leaves the settings unchanged.
func (n *Node) reload(last []byte, signalled bool) []byte {
	content, err := os.ReadFile(n.SettingsFile)
	if err != nil {
		n.Logger.WithError(err).Warn("cannot read the settings file; the previous settings stay in force")
		return last
	}
	if bytes.Equal(content, last) {
		if signalled {
			n.Logger.Info("settings reloaded; no change")
		}
		return last
	}
	settings, err := cvnodesettings.Parse(n.SettingsFile, content)
	if err != nil {
		n.Logger.WithError(err).Error("settings are invalid; the previous ones stay in force")
		return content
	}
	n.storeSettings(settings)
	// Under the lock, a configuration that takes effect meanwhile is not replaced by the one before it.
	n.mu.Lock()
	for group, s := range n.groups {
		n.setWarmUp(time.Now(), n.routes.Load(), group, s)
	}
	n.setQuotas(time.Now(), n.routes.Load())
	n.mu.Unlock()
	n.limitMemory(settings)
	n.Logger.Info("settings reloaded")
	return content
}
