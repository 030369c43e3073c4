/** Service on whose route streams may go on, and its servers at first. */
export interface VersionedService {
  readonly name: string;
  readonly pathPrefix: string;
  readonly servers: readonly { readonly zone: string; readonly version: SoftwareVersion }[];
}

export type SoftwareVersion = (typeof softwareVersions)[number];

export const softwareVersions = ['v1', 'v2'] as const;
/** Events of a complete stream. */
export const STREAM_EVENTS = 8;
const RELEASED_SERVICES = 5;

/** Service whose servers have two software versions, with one server of each for each entry of zones. */
export const versionedService: VersionedService = {
  name: 'versions',
  pathPrefix: '/stream/versions/',
  servers: ['north-a', 'north-a', 'south-a', 'south-a'].flatMap((zone) =>
    softwareVersions.map((version) => ({ zone, version })),
  ),
};

/** Services whose servers have one software version until one of them starts again with the other. */
export const releasedServices: readonly VersionedService[] = Array.from(
  { length: RELEASED_SERVICES },
  (_, index) => ({
    name: `release-${index + 1}`,
    pathPrefix: `/stream/release-${index + 1}/`,
    servers: ['north-a', 'north-a', 'north-a', 'south-a'].map((zone) => ({ zone, version: 'v1' })),
  }),
);

export const versionedServices = [versionedService, ...releasedServices];
