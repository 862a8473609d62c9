// Package keys parses and writes the platform object that holds the binding keys.
package keys

import (
	"crypto/rand"
	"encoding/json"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
)

// ObjectName is the name of the object in the platform's store.
const ObjectName = "binding-keys"

// maxKeys is the maximum number of keys that are valid at the same time: the current one and its predecessor.
const maxKeys = 2

// wireObject is the object's body.
type wireObject struct {
	// Keys is sorted from the newest to the oldest key.
	Keys []wireKey `json:"keys"`
}

type wireKey struct {
	Epoch  uint16 `json:"epoch"`
	Secret []byte `json:"secret"`
}

// Parse parses the body of the object that was written at the given state of the store.
func Parse(at model.Position, body []byte) (k bind.Keys, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "keys: parse")
		}
	}()
	var object wireObject
	if err := json.Unmarshal(body, &object); err != nil {
		return k, err
	}
	if len(object.Keys) == 0 || len(object.Keys) > maxKeys {
		return k, eris.Errorf("object holds %d keys, but must hold one or two", len(object.Keys))
	}
	k.Era, k.Version = at.Era, model.Version(at.Revision)
	for _, w := range object.Keys {
		key := bind.Key{Epoch: model.Epoch(w.Epoch)}
		if copy(key.Secret[:], w.Secret) != len(key.Secret) || len(w.Secret) != len(key.Secret) {
			return k, eris.Errorf("secret of key %d has a wrong length of %d bytes", w.Epoch, len(w.Secret))
		}
		k.List = append(k.List, key)
	}
	return k, nil
}

// Rotate returns the object's body with a new random key for the epoch, followed by the newest of the old keys.
func Rotate(old bind.Keys, epoch model.Epoch) (body []byte, err error) {
	newest := bind.Key{Epoch: epoch}
	if _, err := rand.Read(newest.Secret[:]); err != nil {
		return nil, eris.Wrap(err, "keys: rotate")
	}
	list := append([]bind.Key{newest}, old.List...)
	var object wireObject
	for _, k := range list[:min(maxKeys, len(list))] {
		object.Keys = append(object.Keys, wireKey{Epoch: uint16(k.Epoch), Secret: k.Secret[:]})
	}
	return json.Marshal(object)
}
