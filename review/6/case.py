"""After an outage of the store, streams of a machine that is killed can't be taken up elsewhere."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "6", "stand-ins"))
from fleet import Engine, Fleet, finish, has_trouble, main, new_attempt, now, send

DAEMONS = 7
ENGINES = 9
STREAMS_PER_S = 15
# 92 events, 150 ms apart, within the time limit of 15 s.
OUTPUT_TOKENS = 368
OUTAGE_S = 4.5
CONTACT_S = 3.0
TAKEN_UP_MIN = 12


def run(folder):
    with Fleet(folder, DAEMONS) as fleet:
        record = fleet.record
        zones = ["hkd-a", "hkd-b", "hkd-c"]
        for i in range(ENGINES):
            Engine(record, fleet.store, f"i-llm-{i + 1}", "llm", zones[i % 3])
        Engine(record, fleet.store, "i-desk-1", "desk", zones[0])
        fleet.start()
        fleet.wait_ready()
        # One version has served for longer than any stream lasts.
        time.sleep(24)

        is_over = threading.Event()
        killed = fleet.daemons[1]
        others = [daemon for daemon in fleet.daemons if daemon is not killed]
        results = []
        threads = []

        def consumer(number):
            """Starts a stream; takes it up once at another machine if its channel breaks."""
            prompt = f"{0x5C1E0000 + number % 52:x}:603,{0xE4400000 + number:x}:110"
            attempt = new_attempt()
            began_at = now()
            daemon = fleet.daemons[number % DAEMONS]
            first = send(record, daemon.callers, "POST", "/chat/1", attempt, 15000, body=b"x" * 1400,
                         prompt=prompt, output_tokens=OUTPUT_TOKENS)
            second = None
            if first.events and not first.is_complete:
                fields = [f"Last-Event-Id: {first.events[-1][0]}", f"Resumes: {attempt}"]
                left_ms = int(15000 - (now() - began_at) * 1000)
                other = others[number // DAEMONS % len(others)]
                second = send(record, other.callers, "POST", "/chat/1", None, left_ms, fields,
                              body=b"x" * 1400, prompt=prompt, output_tokens=OUTPUT_TOKENS)
            results.append((began_at, first, second))

        def send_all():
            number = 0
            while not is_over.wait(1 / STREAMS_PER_S):
                number += 1
                thread = threading.Thread(target=consumer, args=(number,))
                thread.start()
                threads.append(thread)

        threading.Thread(target=send_all, daemon=True).start()
        time.sleep(8)
        if has_trouble():
            fleet.store.set_mode("silent")
        time.sleep(OUTAGE_S)
        if has_trouble():
            fleet.store.set_mode("up")
        # The store answers again; the machines are in touch after this time.
        time.sleep(CONTACT_S + 0.3)
        killed_at = now()
        if has_trouble():
            killed.signal(signal.SIGKILL)
            killed.process.wait()
        time.sleep(2)
        is_over.set()
        for thread in threads:
            thread.join()

        taken_up = [second for _, _, second in results if second is not None]
        gone_on = [answer for answer in taken_up if answer.events or answer.is_complete and answer.status == 200]
        new = [first for began_at, first, _ in results if killed_at - 2 <= began_at < killed_at - 0.3]
        begun = [answer for answer in new if answer.events]
        share_new = len(begun) / max(1, len(new))
        share_taken_up = len(gone_on) / max(1, len(taken_up))
        kinds = {}
        for answer in taken_up:
            key = f"{answer.status} {answer.body[:40].decode('latin-1') if answer.status != 200 else ''}"
            kinds[key] = kinds.get(key, 0) + 1
        record.write(f"answers to streams taken up: {kinds}")
        text = (
            f"{len(gone_on)} of {len(taken_up)} streams that consumers took up went on; "
            f"{len(begun)} of {len(new)} new streams began"
        )
        is_broken = len(taken_up) >= TAKEN_UP_MIN and share_taken_up < share_new / 2
        return finish(record, is_broken, text)


main(run)
