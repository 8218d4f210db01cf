/** How far a version has come at one site. */
export interface SiteProgress {
  readonly site: string;
  /** Daemons that report the version. */
  readonly reported: number;
  readonly daemons: number;
  /** Instances that do not report it yet. */
  readonly waiting: readonly string[];
}

/** Shows the progress of all sites; `end` keeps the last state on display. */
export interface Progress {
  readonly show: (sites: readonly SiteProgress[]) => void;
  readonly end: () => void;
}

/** Where a progress display is written. */
export interface ProgressOutput {
  readonly write: (text: string) => void;
  readonly isTerminal: boolean;
}

/** Instances that one line names. */
const NAMES_SHOWN_MAX = 3;

const BAR_CELLS = 20;

/** A progress that shows nothing. */
export const NO_PROGRESS: Progress = {show: () => {}, end: () => {}};

/**
 * Creates a progress display: bars that are redrawn on a terminal, and plain
 * lines for what has changed elsewhere.
 *
 * @example
 * const progress = createProgress({write: text => stdout.write(text), isTerminal: false});
 * progress.show([{site: 'newsroom', reported: 3, daemons: 4, waiting: ['a']}]);
 */
export function createProgress(output: ProgressOutput): Progress {
  return output.isTerminal
    ? createTerminalProgress(output)
    : createLineProgress(output);
}

/**
 * Formats the progress of a site on one line.
 *
 * @example
 * formatProgress({site: 'x', reported: 3, daemons: 4, waiting: ['a']});
 * // 'x: 3 of 4 daemons, waiting for a'
 */
export function formatProgress(progress: SiteProgress): string {
  const {site, reported, daemons, waiting} = progress;
  const counts = `${site}: ${reported} of ${daemons} daemons`;
  return waiting.length === 0 ? counts : `${counts}, ${formatWaiting(waiting)}`;
}

function formatWaiting(waiting: readonly string[]): string {
  const names = waiting.slice(0, NAMES_SHOWN_MAX).join(', ');
  const more = waiting.length - NAMES_SHOWN_MAX;
  return `waiting for ${names}${more > 0 ? ` and ${more} more` : ''}`;
}

function createTerminalProgress(output: ProgressOutput): Progress {
  let height = 0;
  return {
    show: sites => {
      const up = height > 0 ? `\u001b[${height}A` : '';
      const lines = sites.map(site => `\u001b[2K${formatBar(site)}\n`);
      output.write(up + lines.join(''));
      height = sites.length;
    },
    end: () => {
      height = 0;
    },
  };
}

function formatBar(progress: SiteProgress): string {
  const {reported, daemons} = progress;
  const share = daemons === 0 ? 1 : reported / daemons;
  const filled = Math.floor(share * BAR_CELLS);
  const cells = '#'.repeat(filled).padEnd(BAR_CELLS, '.');
  return `[${cells}] ${formatProgress(progress)}`;
}

function createLineProgress(output: ProgressOutput): Progress {
  const shown = new Map<string, string>();
  return {
    show: sites => {
      for (const progress of sites) {
        const line = formatProgress(progress);
        if (shown.get(progress.site) === line) continue;
        shown.set(progress.site, line);
        output.write(line + '\n');
      }
    },
    end: () => shown.clear(),
  };
}
