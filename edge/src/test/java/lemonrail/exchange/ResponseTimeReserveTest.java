package lemonrail.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests how much of the client timeout is reserved for the response. */
class ResponseTimeReserveTest {

    @Test
    void reserveWithoutLoopLagIsOnePercent() {
        assertEquals(50, ResponseTimeReserve.reserveMs(5000, 0));
    }

    @Test
    void shortClientTimeoutReservesTheNetworkMinimum() {
        assertEquals(2, ResponseTimeReserve.reserveMs(100, 0));
    }

    @Test
    void loopLagIsAddedToTheReserve() {
        assertEquals(34, ResponseTimeReserve.reserveMs(400, 30));
    }

    @Test
    void reserveIsAtMostAQuarterOfTheClientTimeout() {
        assertEquals(100, ResponseTimeReserve.reserveMs(400, 1000));
        assertEquals(1, ResponseTimeReserve.reserveMs(4, 0));
    }

    @Test
    void expiredClientTimeoutReservesNothing() {
        assertEquals(0, ResponseTimeReserve.reserveMs(-5, 10));
    }
}
