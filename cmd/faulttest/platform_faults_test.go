package faulttest

import (
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/platformsim"
)

// platformDown makes the platform refuse every call.
func platformDown(d *deployment) { d.platformFaults(platformsim.Fault{Mode: platformsim.Down}) }

// platformHealed ends every fault of the platform.
func platformHealed(d *deployment) { d.platformFaults() }

// slowPlatform is the delay of a slow platform's calls.
const slowPlatform = 100 * time.Millisecond
