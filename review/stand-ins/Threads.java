/** Daemon threads whose exceptions go to the record. */
final class Threads {

    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        Record.add("thread %s ended: %s", name, e);
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(double ms) throws InterruptedException {
        Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
    }
}
