/** Load of a backend server, as reported by the server. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at this moment, relative to usual: servers share machines with others. */
  readonly slowdownRatio: number;
}
