import { randomBytes, timingSafeEqual } from 'node:crypto';
import { InvalidPermitError } from '../errors/InvalidPermitError.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RegionId } from '../ids/RegionId.js';
import { asId } from '../ids/asId.js';
import { fingerprintOf } from '../requests/fingerprintOf.js';
import type { ExecutorIdentity } from './ExecutorIdentity.js';

/**
 * Fields of an order permit, `cbp1.<region>.<hostId>.<incarnation>.<expiresAtMs>.<nonce>.<hmac>`.
 */
export interface Permit {
  readonly regionId: RegionId;
  readonly hostId: HostId;
  readonly incarnation: Incarnation;
  /** Expiry time, measured by the clock of the process that issued the permit. */
  readonly expiresAtMs: number;
}

export interface PermitCodecOptions {
  readonly recordKey: string;
  readonly self: ExecutorIdentity;
}

export interface PermitCodec {
  /** Whether an idempotency key has the prefix of a permit. */
  isPermit(key: string): boolean;
  issue(customerId: CustomerId, expiresAtMs: number): string;
  /**
   * Verifies and parses a permit of any entry host.
   *
   * @throws InvalidPermitError when the permit is malformed, forged or issued to another customer
   */
  read(key: string, customerId: CustomerId): Permit;
}

const PREFIX = 'cbp1.';
const NONCE_BYTES = 16;
const PERMIT_PATTERN =
  /^cbp1\.([\w~-]{1,63})\.([\w~-]{1,63})\.([0-9a-f-]{36})\.(\d{1,16})\.([\w-]{22})\.([\w-]{43})$/i;

/** Names may contain dots, the field separator of permits, but never a tilde. */
const escapeName = (name: string): string => name.replaceAll('.', '~');
const unescapeName = (name: string): string => name.replaceAll('~', '.');

/** Creates the codec of order permits. All entry hosts share the HMAC key. */
export function createPermitCodec(options: PermitCodecOptions): PermitCodec {
  const { self, recordKey } = options;

  function sign(unsigned: string, customerId: CustomerId): string {
    const hex = fingerprintOf(recordKey, 'order-permit', customerId, unsigned);
    return Buffer.from(hex, 'hex').toString('base64url');
  }

  return {
    isPermit: (key) => key.toLowerCase().startsWith(PREFIX),
    issue(customerId, expiresAtMs) {
      const fields = [
        escapeName(self.regionId),
        escapeName(self.hostId),
        self.incarnation,
        String(Math.floor(expiresAtMs)),
        randomBytes(NONCE_BYTES).toString('base64url'),
      ];
      const unsigned = `${PREFIX}${fields.join('.')}`;
      return `${unsigned}.${sign(unsigned, customerId)}`;
    },
    read(key, customerId) {
      const [, region, host, incarnation, expiresAt] = PERMIT_PATTERN.exec(key) ?? [];
      const end = key.lastIndexOf('.');
      const expected = Buffer.from(sign(key.slice(0, end), customerId));
      const actual = Buffer.from(key.slice(end + 1));
      if (
        region === undefined ||
        host === undefined ||
        incarnation === undefined ||
        actual.length !== expected.length ||
        !timingSafeEqual(actual, expected)
      ) {
        throw new InvalidPermitError('The order permit is not valid for this customer.');
      }
      return {
        regionId: asId<RegionId>(unescapeName(region)),
        hostId: asId<HostId>(unescapeName(host)),
        incarnation: asId<Incarnation>(incarnation),
        expiresAtMs: Number(expiresAt),
      };
    },
  };
}
