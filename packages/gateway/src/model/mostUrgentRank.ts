/** Rank of the most urgent priority class. */
export const mostUrgentRank = 0;
