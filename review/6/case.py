"""Machines that start after engines have restarted in place take these engines for leaving ones."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet import Engine, Fleet, finish, has_trouble, main, now, send

DAEMONS = 7
ENGINES = 4
RECOVER_S = 12.0
MEASURED_S = 8.0
DOWN_S = 2.0


def run(folder):
    with Fleet(folder, DAEMONS) as fleet:
        record = fleet.record
        zones = ["hkd-a", "hkd-b", "hkd-c"]
        # The head of a stream comes with its first event, after the prompt has been read.
        engines = [
            Engine(record, fleet.store, f"i-llm-{i + 1}", "llm", zones[i % 3], head_s=0.4,
                   event_gap_s=0.03)
            for i in range(ENGINES)
        ]
        Engine(record, fleet.store, "i-desk-1", "desk", zones[0])
        fleet.start()
        fleet.wait_ready()
        time.sleep(7)

        is_over = threading.Event()
        requests = []
        threads = []

        def consumer(number):
            """Starts a stream, and once more at another machine after the time it was told."""
            sent_at = now()
            prompt = f"{0x5C1E0000 + number % 78:x}:2041,{0xE4400000 + number:x}:360"
            for attempt in range(2):
                machine = (number + attempt * (1 + number // DAEMONS % 6)) % DAEMONS
                answer = send(record, fleet.daemons[machine].callers, "POST", "/draft/1", None,
                              3000 - 1000 * attempt, body=b"x" * 4700, prompt=prompt,
                              output_tokens=24)
                if answer.is_complete and answer.status == 200:
                    break
                time.sleep(min(1.0, float(answer.fields.get("retry-after", 0.1))))
            requests.append((sent_at, answer.is_complete and answer.status == 200, answer))

        def send_all():
            number = 0
            while not is_over.wait(1 / 58):
                number += 1
                thread = threading.Thread(target=consumer, args=(number,))
                thread.start()
                threads.append(thread)

        threading.Thread(target=send_all, daemon=True).start()
        time.sleep(2)
        # Planned work: the engines restart under their ids, one after the other.
        for engine in engines:
            engine.restart_in_place()
        time.sleep(3)

        # Planned work: three of the machines are stopped and started in turn.
        for daemon in fleet.daemons[:3]:
            daemon.signal(signal.SIGTERM)
            daemon.process.wait()
            time.sleep(0.5)
            daemon.start()
            time.sleep(1.3)
        fleet.wait_ready()
        time.sleep(6)
        final_at = now()
        killed = fleet.daemons[3:] if has_trouble() else []
        for daemon in killed:
            daemon.signal(signal.SIGKILL)
        for daemon in killed:
            daemon.process.wait()
        time.sleep(DOWN_S)
        for daemon in killed:
            daemon.start()
        fleet.wait_ready()
        back_at = now()
        record.write("all machines are back and ready")
        time.sleep(RECOVER_S + MEASURED_S)
        is_over.set()
        for thread in threads:
            thread.join(4)

        def share(begin, end):
            served = [is_served for at, is_served, _ in requests if begin <= at < end]
            return sum(served) / max(1, len(served)), len(served)

        before, count_before = share(final_at - 5.5, final_at - 1.5)
        after, count_after = share(back_at + RECOVER_S, back_at + RECOVER_S + MEASURED_S - 1.5)
        for name, begin, end in (("before the final fault", final_at - 5.5, final_at - 1.5),
                                 ("after it", back_at + RECOVER_S, back_at + RECOVER_S + 6.5)):
            kinds = {}
            for at, is_served, answer in requests:
                if begin <= at < end:
                    body = "" if is_served else answer.body[:40].decode("latin-1")
                    key = f"{answer.status} {body}"
                    kinds[key] = kinds.get(key, 0) + 1
            record.write(f"{name}: {kinds}")
        text = (
            f"{after:.0%} of {count_after} requests sent later than {RECOVER_S:.0f} s after the machines "
            f"were back were served; {before:.0%} of {count_before} were before the final fault"
        )
        return finish(record, before >= 0.25 and after < 0.25, text)


main(run)
