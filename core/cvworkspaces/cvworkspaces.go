// Package cvworkspaces finds the workspace that an API key belongs to.
package cvworkspaces

import (
	"crypto/sha256"

	"comfreyvale/core/cvworkspace"
)

// Workspaces holds the workspaces of one configuration by name and by API key. It keeps digests of the keys alone, so
// that neither a dump nor the time of a lookup tells how much of a guessed key is right. Fill it with Add before use;
// after that it must not change.
type Workspaces struct {
	byName map[string]*cvworkspace.Workspace
	byKey  map[[sha256.Size]byte]*cvworkspace.Workspace
}

// New returns an empty set of workspaces.
func New() *Workspaces {
	return &Workspaces{byName: make(map[string]*cvworkspace.Workspace), byKey: make(map[[sha256.Size]byte]*cvworkspace.Workspace)}
}

// Add adds a workspace with its API keys. It reports false if another workspace has one of the keys, which stays with
// that one.
func (w *Workspaces) Add(workspace *cvworkspace.Workspace, keys ...string) bool {
	w.byName[workspace.Name()] = workspace
	for _, key := range keys {
		digest := sha256.Sum256([]byte(key))
		if holder := w.byKey[digest]; holder != nil && holder.Name() != workspace.Name() {
			return false
		}
		w.byKey[digest] = workspace
	}
	return true
}

// ByKey returns the workspace that holds an API key.
func (w *Workspaces) ByKey(key string) (*cvworkspace.Workspace, bool) {
	found, ok := w.byKey[sha256.Sum256([]byte(key))]
	return found, ok
}

// ByName returns the workspace with a name.
func (w *Workspaces) ByName(name string) (*cvworkspace.Workspace, bool) {
	found, ok := w.byName[name]
	return found, ok
}

// All returns the workspaces by name. The map must not be modified.
func (w *Workspaces) All() map[string]*cvworkspace.Workspace { return w.byName }

// KeyCount returns the number of API keys.
func (w *Workspaces) KeyCount() int { return len(w.byKey) }

// KeyCountOf returns the number of API keys of the workspace with a name.
func (w *Workspaces) KeyCountOf(name string) int {
	count := 0
	for _, holder := range w.byKey {
		if holder.Name() == name {
			count++
		}
	}
	return count
}

// KeysAddedTo returns how many API keys of the workspace with a name are not keys of the workspace with that name in
// earlier, which may be nil.
func (w *Workspaces) KeysAddedTo(name string, earlier *Workspaces) int {
	count := 0
	for digest, holder := range w.byKey {
		if holder.Name() != name {
			continue
		}
		if earlier == nil || earlier.byKey[digest] == nil || earlier.byKey[digest].Name() != name {
			count++
		}
	}
	return count
}
