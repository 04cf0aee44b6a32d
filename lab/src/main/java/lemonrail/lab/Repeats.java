package lemonrail.lab;

/** Counts the requests that have come to an endpoint before, to the same or another one. */
final class Repeats {

    /** Requests remembered; a repeat comes within a deadline. */
    private static final int REMEMBERED = 1 << 16;

    private final String[] recent = new String[REMEMBERED];
    private int count;

    synchronized void seen(String id) {
        int place = Math.floorMod(id.hashCode(), REMEMBERED);
        if (id.equals(recent[place])) {
            count++;
        }
        recent[place] = id;
    }

    synchronized int count() {
        return count;
    }
}
