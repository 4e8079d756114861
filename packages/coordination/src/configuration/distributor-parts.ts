/** The dependencies of the configuration distributor. */

import type {PauseDetector} from '../fleet/pause-detector.js';
import type {FailureDomainId, HostId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {DistributionTiming} from './distribution-timing.js';
import type {PeerPullerParts} from './peer-puller.js';
import type {PlatformReaderParts} from './platform-reader.js';

export interface ConfigurationDistributorParts
  extends PlatformReaderParts, PeerPullerParts {
  readonly random: RandomSource;
  readonly self: HostId;
  readonly failureDomain: FailureDomainId;
  /** Hosts to pull from before a membership is known. */
  readonly seeds: readonly HostId[];
  /** Triggers a refresh of the configuration after a pause of the process. */
  readonly pauseDetector?: PauseDetector;
  readonly timing?: Partial<DistributionTiming>;
}
