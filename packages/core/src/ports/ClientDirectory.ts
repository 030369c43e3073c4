import type { RegionId } from '../ids/RegionId.js';

export interface DirectoryEntry {
  readonly regionId: RegionId;
  /** Base URLs of entry hosts, best first. */
  readonly entryHostUrls: readonly string[];
  readonly validForMs: number;
}

/** The platform's directory in which callers look up entry hosts. */
export interface ClientDirectory {
  /** Rejects with `PlatformError` when the directory cannot be written. */
  publish(entry: DirectoryEntry): Promise<void>;
  close(): Promise<void>;
}
