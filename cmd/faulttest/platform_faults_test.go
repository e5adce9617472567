package faulttest

import (
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
)

// failPlatform makes the platform reject every call.
func failPlatform(d *deployment) { d.setPlatformFaults(platformsim.Fault{Mode: platformsim.Down}) }

// restorePlatform ends all faults of the platform.
func restorePlatform(d *deployment) { d.setPlatformFaults() }

// slowPlatformDelay is the delay of each call to a slow platform.
const slowPlatformDelay = 100 * time.Millisecond
